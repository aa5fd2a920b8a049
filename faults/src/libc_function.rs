//! The C library's own functions, which the replaced ones forward to.
use libc::c_char;
use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A function of the C library, looked up at its first call.
pub(crate) struct LibcFunction {
    name: &'static CStr,
    /// 0 before it was looked up.
    address: AtomicUsize,
}

impl LibcFunction {
    pub(crate) const fn new(name: &'static CStr) -> LibcFunction {
        LibcFunction { name, address: AtomicUsize::new(0) }
    }

    /// Its address in the C library, behind this library.
    pub(crate) fn address(&self) -> usize {
        let known = self.address.load(Ordering::Relaxed);
        if known != 0 {
            return known;
        }
        let name: *const c_char = self.name.as_ptr();
        // SAFETY: the name ends with a zero.
        let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name) } as usize;
        self.address.store(address, Ordering::Relaxed);
        address
    }
}

/// Defines a function that replaces the C library's one of the same name and signature. In its body, the name behind `as`
/// calls the C library's function.
macro_rules! replace {
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
                    Err(_) => panic!("the name holds a zero"),
                }
            };
            let $original = |$($argument: $type),*| -> $result {
                // SAFETY: the C library's function of this name has this signature, and its caller's guarantees for
                // these arguments are the caller's of this function.
                unsafe { std::mem::transmute::<usize, Original>(ORIGINAL.address())($($argument),*) }
            };
            $body
        }
    };
}

pub(crate) use replace;
