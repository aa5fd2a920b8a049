//! Fixtures: the files under `tests/fixtures` of a package, and the comparison of a test's output with them.
use std::path::{Path, PathBuf};

/// Creates the [`Fixtures`](crate::fixture::Fixtures) of the package whose test calls this macro.
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

/// The folder `tests/fixtures` of one package. Created by [`fixtures!`](crate::fixtures).
#[derive(Clone, Copy)]
pub struct Fixtures {
    package: &'static str,
    package_folder: &'static str,
    output_folder: &'static str,
}

impl Fixtures {
    /// Creates the fixtures of a package from its name and folder. Output that differs from a fixture is
    /// written to `output_folder`.
    pub const fn new(
        package: &'static str,
        package_folder: &'static str,
        output_folder: &'static str,
    ) -> Fixtures {
        Fixtures { package, package_folder, output_folder }
    }

    /// Returns the path of the fixture of this name.
    pub fn path(&self, name: &str) -> PathBuf {
        Path::new(self.package_folder).join("tests/fixtures").join(name)
    }

    /// Reads a fixture as bytes.
    ///
    /// # Panics
    /// Panics if the file can't be read.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// Reads a fixture as text.
    ///
    /// # Panics
    /// Panics if the file can't be read or is not UTF-8.
    pub fn text(&self, name: &str) -> String {
        String::from_utf8(self.bytes(name)).expect("the fixture is valid UTF-8")
    }

    /// Compares output with a fixture byte for byte. Never writes the fixture: if the difference is intended,
    /// replace the fixture by hand with the output file that the message names, and give the reason in the
    /// commit.
    ///
    /// # Panics
    /// Panics if the output differs or the fixture does not exist; the message names the first line that
    /// differs.
    #[track_caller]
    pub fn assert_same(&self, name: &str, found: impl AsRef<[u8]>) {
        let found = found.as_ref();
        let recorded = std::fs::read(self.path(name)).unwrap_or_default();
        if recorded == found && self.path(name).exists() {
            return;
        }
        let output = Path::new(self.output_folder).join(format!("{}-{name}", self.package));
        std::fs::write(&output, found).expect("the output folder is writable");
        panic!(
            "output differs from fixture {} {}; the output was written to {}",
            self.path(name).display(),
            first_difference(&recorded, found),
            output.display()
        );
    }
}

/// Describes the first line that differs or, if one text is a prefix of the other, both lengths.
fn first_difference(recorded: &[u8], found: &[u8]) -> String {
    let (recorded, found) = (String::from_utf8_lossy(recorded), String::from_utf8_lossy(found));
    let lines = recorded.lines().zip(found.lines());
    let Some((at, (recorded, found))) = lines.enumerate().find(|(_, (recorded, found))| recorded != found)
    else {
        return format!("in length: {} bytes recorded, {} found", recorded.len(), found.len());
    };
    format!("at line {}: recorded {recorded:?}, found {found:?}", at + 1)
}
