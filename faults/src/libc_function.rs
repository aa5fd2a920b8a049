//! Lookup of the original functions of the C library, which the interposed functions call.
use libc::c_char;
use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A function of the C library, which is looked up at its first call.
pub(crate) struct LibcFunction {
    name: &'static CStr,
    /// The function's address; 0 before the first lookup.
    address: AtomicUsize,
}

impl LibcFunction {
    pub(crate) const fn new(name: &'static CStr) -> LibcFunction {
        LibcFunction { name, address: AtomicUsize::new(0) }
    }

    /// Returns the address of the original function, which is the next symbol of this name after the symbol
    /// of this library.
    pub(crate) fn address(&self) -> usize {
        let cached = self.address.load(Ordering::Relaxed);
        if cached != 0 {
            return cached;
        }
        let name: *const c_char = self.name.as_ptr();
        // SAFETY: the name is NUL-terminated.
        let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name) } as usize;
        self.address.store(address, Ordering::Relaxed);
        address
    }
}

/// Defines a function that interposes the C library's function of the same name and signature. In its body,
/// the name after `as` calls the original function.
macro_rules! interpose {
    (
        $(#[$attribute:meta])*
        fn $name:ident($($argument:ident: $type:ty),* $(,)?) -> $result:ty as $original:ident $body:block
    ) => {
        $(#[$attribute])*
        #[unsafe(no_mangle)]
        unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            type Original = unsafe extern "C" fn($($type),*) -> $result;
            static ORIGINAL: $crate::libc_function::LibcFunction = {
                const NAME: &str = concat!(stringify!($name), "\0");
                match std::ffi::CStr::from_bytes_with_nul(NAME.as_bytes()) {
                    Ok(name) => $crate::libc_function::LibcFunction::new(name),
                    Err(_) => panic!("the function name contains a NUL byte"),
                }
            };
            let $original = |$($argument: $type),*| -> $result {
                // SAFETY: the original function has this signature, and the caller of the interposed function
                // upholds the contract of the original function for the same arguments.
                unsafe { std::mem::transmute::<usize, Original>(ORIGINAL.address())($($argument),*) }
            };
            $body
        }
    };
}

pub(crate) use interpose;
