//! Files under `tests/fixtures` of a package, and what the present code gives in comparison with them.
use std::path::{Path, PathBuf};

/// The fixtures of the package whose test names this macro.
#[macro_export]
macro_rules! fixtures {
    () => {
        $crate::fixture::Fixtures::new(
            env!("CARGO_PKG_NAME"),
            env!("CARGO_MANIFEST_DIR"),
            env!("CARGO_TARGET_TMPDIR"),
        )
    };
}

/// The folder `tests/fixtures` of one package. [`fixtures!`](crate::fixtures) makes it.
#[derive(Clone, Copy)]
pub struct Fixtures {
    package: &'static str,
    package_folder: &'static str,
    output_folder: &'static str,
}

impl Fixtures {
    /// The fixtures of a package by its name and folder. What differs from a fixture is written to `output_folder`.
    pub const fn new(
        package: &'static str,
        package_folder: &'static str,
        output_folder: &'static str,
    ) -> Fixtures {
        Fixtures { package, package_folder, output_folder }
    }

    /// Where the fixture of this name is.
    pub fn path(&self, name: &str) -> PathBuf {
        Path::new(self.package_folder).join("tests/fixtures").join(name)
    }

    /// The bytes of a fixture.
    ///
    /// # Panics
    /// If it can't be read.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// The text of a fixture.
    ///
    /// # Panics
    /// If it can't be read, or is not UTF-8.
    pub fn text(&self, name: &str) -> String {
        String::from_utf8(self.bytes(name)).expect("a fixture in UTF-8")
    }

    /// Compares with a fixture byte for byte. A fixture is never written from here: where the difference is intended, the
    /// output that the message names replaces the fixture by hand, and the commit says why.
    ///
    /// # Panics
    /// If they differ, or if there is no such fixture; the message names the first line that differs.
    #[track_caller]
    pub fn assert_same(&self, name: &str, found: impl AsRef<[u8]>) {
        let found = found.as_ref();
        let recorded = std::fs::read(self.path(name)).unwrap_or_default();
        if recorded == found && self.path(name).exists() {
            return;
        }
        let output = Path::new(self.output_folder).join(format!("{}-{name}", self.package));
        std::fs::write(&output, found).expect("the build's folder can be written");
        panic!(
            "the output differs from {} {}; it is in {}",
            self.path(name).display(),
            first_difference(&recorded, found),
            output.display()
        );
    }
}

/// The first line that differs, or which text ends before the other.
fn first_difference(recorded: &[u8], found: &[u8]) -> String {
    let (recorded, found) = (String::from_utf8_lossy(recorded), String::from_utf8_lossy(found));
    let lines = recorded.lines().zip(found.lines());
    let Some((at, (recorded, found))) = lines.enumerate().find(|(_, (recorded, found))| recorded != found)
    else {
        return format!("in length: {} bytes recorded, {} found", recorded.len(), found.len());
    };
    format!("at line {}: recorded {recorded:?}, found {found:?}", at + 1)
}
