//! Checks of the source tree: no test code under `src/`, no file above the size limit, and no import cycles
//! between the files of a package.
//!
//! A file imports another one if a `use` declaration in it names an item that the other file defines.
//! Re-exports (`pub use`) are resolved: the importing file depends on the file with the definition, not on
//! the file with the re-export. Imports of a submodule from the modules that contain it are ignored, because
//! it is a part of them.
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use syn::{Item, UseTree, Visibility};

/// The maximum number of lines of a file under `src/`.
const MAX_LINES: usize = 450;
/// The maximum number of re-exports that are followed to resolve a name.
const MAX_RE_EXPORTS: usize = 16;

/// The path of a module in its crate. The path of the crate root is empty.
type ModulePath = Vec<String>;

/// One name that a `use` declaration brings into a module.
struct Import {
    /// The path as written, with its leading `crate`, `self` or `super`.
    path: Vec<String>,
    /// The name of the item in the importing module; `*` for a glob import.
    name: String,
    /// Whether the declaration has a visibility such as `pub`, so that other modules can use the name too.
    re_exported: bool,
}

/// A file of a crate and its imports.
struct Module {
    file: PathBuf,
    imports: Vec<Import>,
}

/// The files of one crate by their module paths.
struct CrateModules(BTreeMap<ModulePath, Module>);

impl CrateModules {
    fn read(source_folder: &Path) -> CrateModules {
        let modules = rust_files(source_folder).into_iter().map(|file| {
            let path = module_path(file.strip_prefix(source_folder).unwrap());
            let imports = read_imports(&file);
            (path, Module { file, imports })
        });
        CrateModules(modules.collect())
    }

    /// The module that defines the item to which `path` refers in `module`. `None` for items of other crates.
    fn defining_module(&self, module: &[String], path: &[String]) -> Option<ModulePath> {
        let mut absolute = self.absolute(module, path)?;
        for _ in 0..MAX_RE_EXPORTS {
            let owner = self.longest_module(&absolute);
            let Some(name) = absolute.get(owner.len()) else { return Some(owner) };
            let re_export =
                self.0[&owner].imports.iter().find(|import| import.re_exported && import.name == *name);
            let Some(re_export) = re_export else { return Some(owner) };
            absolute = self.absolute(&owner, &re_export.path)?;
        }
        None
    }

    /// Resolves `path`, as written in `module`, to a path from the crate root. `None` if it begins with
    /// another crate.
    fn absolute(&self, module: &[String], path: &[String]) -> Option<Vec<String>> {
        let mut base = module.to_vec();
        let mut rest = path;
        match path.first()?.as_str() {
            "crate" => {
                base.clear();
                rest = &path[1..];
            }
            "self" => rest = &path[1..],
            "super" => {
                while rest.first().is_some_and(|segment| segment == "super") {
                    base.pop();
                    rest = &rest[1..];
                }
            }
            child => {
                let mut candidate = base.clone();
                candidate.push(child.to_owned());
                if !self.0.contains_key(&candidate) {
                    return None;
                }
            }
        }
        base.extend_from_slice(rest);
        Some(base)
    }

    fn longest_module(&self, absolute: &[String]) -> ModulePath {
        let lengths = (0..=absolute.len()).rev();
        lengths.map(|length| &absolute[..length]).find(|path| self.0.contains_key(*path)).unwrap().to_vec()
    }

    /// The modules from which each module imports, without itself and the modules that contain it.
    fn dependencies(&self) -> BTreeMap<&ModulePath, BTreeSet<ModulePath>> {
        let of_module = |path: &ModulePath, module: &Module| {
            let used = module.imports.iter().filter(|import| !import.re_exported);
            used.filter_map(|import| self.defining_module(path, &import.path))
                .filter(|target| !path.starts_with(target))
                .collect::<BTreeSet<_>>()
        };
        self.0.iter().map(|(path, module)| (path, of_module(path, module))).collect()
    }

    /// The import cycles: groups of files that can reach each other through imports.
    fn cycles(&self) -> BTreeSet<Vec<&Path>> {
        let dependencies = self.dependencies();
        let reached: BTreeMap<&ModulePath, BTreeSet<ModulePath>> =
            dependencies.keys().map(|path| (*path, reachable(path, &dependencies))).collect();
        let mut cycles = BTreeSet::new();
        for (path, others) in &reached {
            if others.contains(*path) {
                let members = others.iter().filter(|other| reached[*other].contains(*path));
                cycles.insert(members.map(|member| self.0[member].file.as_path()).collect::<Vec<_>>());
            }
        }
        cycles
    }
}

/// All modules that can be reached from `start` through one or more imports.
fn reachable(
    start: &ModulePath,
    dependencies: &BTreeMap<&ModulePath, BTreeSet<ModulePath>>,
) -> BTreeSet<ModulePath> {
    let mut reached = BTreeSet::new();
    let mut pending: Vec<&ModulePath> = vec![start];
    while let Some(path) = pending.pop() {
        for target in &dependencies[path] {
            if reached.insert(target.clone()) {
                pending.push(target);
            }
        }
    }
    reached
}

/// The module path of a file, given its path relative to the source folder.
fn module_path(relative: &Path) -> ModulePath {
    let mut path: ModulePath =
        relative.with_extension("").iter().map(|part| part.to_str().unwrap().to_owned()).collect();
    if matches!(path.last().map(String::as_str), Some("mod" | "lib" | "main")) {
        path.pop();
    }
    path
}

fn read_imports(file: &Path) -> Vec<Import> {
    let syntax = syn::parse_file(&fs::read_to_string(file).unwrap()).unwrap();
    let mut imports = Vec::new();
    for item in syntax.items {
        if let Item::Use(declaration) = item {
            let re_exported = !matches!(declaration.vis, Visibility::Inherited);
            collect_imports(&declaration.tree, &mut Vec::new(), re_exported, &mut imports);
        }
    }
    imports
}

fn collect_imports(tree: &UseTree, prefix: &mut Vec<String>, re_exported: bool, imports: &mut Vec<Import>) {
    match tree {
        UseTree::Path(path) => {
            prefix.push(path.ident.to_string());
            collect_imports(&path.tree, prefix, re_exported, imports);
            prefix.pop();
        }
        UseTree::Group(group) => {
            for branch in &group.items {
                collect_imports(branch, prefix, re_exported, imports);
            }
        }
        UseTree::Name(name) => imports.push(import(prefix, &name.ident, &name.ident, re_exported)),
        UseTree::Rename(rename) => imports.push(import(prefix, &rename.ident, &rename.rename, re_exported)),
        UseTree::Glob(_) => {
            imports.push(Import { path: prefix.clone(), name: "*".to_owned(), re_exported });
        }
    }
}

fn import(prefix: &[String], item: &syn::Ident, name: &syn::Ident, re_exported: bool) -> Import {
    let mut path = prefix.to_vec();
    if item != "self" {
        path.push(item.to_string());
    }
    Import { path, name: name.to_string(), re_exported }
}

/// The `src` folders of all packages of the workspace.
fn source_folders() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let manifest: toml::Table = fs::read_to_string(root.join("Cargo.toml")).unwrap().parse().unwrap();
    let members = manifest["workspace"]["members"].as_array().unwrap();
    let members = members.iter().map(|member| root.join(member.as_str().unwrap()).join("src"));
    std::iter::once(root.join("src")).chain(members).collect()
}

/// All Rust files below a folder, sorted by path.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut entries: Vec<PathBuf> =
        fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    entries.sort();
    let mut files = Vec::new();
    for entry in entries {
        if entry.is_dir() {
            files.extend(rust_files(&entry));
        } else if entry.extension().is_some_and(|extension| extension == "rs") {
            files.push(entry);
        }
    }
    files
}

fn all_source_files() -> Vec<PathBuf> {
    let files: Vec<PathBuf> = source_folders().iter().flat_map(|folder| rust_files(folder)).collect();
    assert!(files.len() > 200, "found only {} files", files.len());
    files
}

#[test]
fn source_folders_contain_no_test_code() {
    let holds_tests =
        |file: &PathBuf| fs::read_to_string(file).unwrap().lines().any(|line| line.trim() == "#[cfg(test)]");
    let offenders: Vec<PathBuf> = all_source_files().into_iter().filter(holds_tests).collect();
    assert!(offenders.is_empty(), "test code under src/: {offenders:#?}");
}

#[test]
fn source_files_stay_within_the_line_limit() {
    let lines = |file: &PathBuf| fs::read_to_string(file).unwrap().lines().count();
    let offenders: Vec<PathBuf> =
        all_source_files().into_iter().filter(|file| lines(file) > MAX_LINES).collect();
    assert!(offenders.is_empty(), "files with more than {MAX_LINES} lines: {offenders:#?}");
}

#[test]
fn source_files_have_no_import_cycles() {
    let crates: Vec<CrateModules> =
        source_folders().iter().map(|folder| CrateModules::read(folder)).collect();
    let cycles: Vec<_> = crates.iter().flat_map(CrateModules::cycles).collect();
    assert!(cycles.is_empty(), "files that import each other: {cycles:#?}");
}
