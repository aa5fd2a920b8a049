//! TLS to the registry: a private authority, a client certificate, and both read again when their files change.
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use settings::operator::RegistryTls;
use std::io;
use std::net::{IpAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use thiserror::Error;

/// Why the files can't be used; each error names the file at fault.
#[derive(Debug, Error)]
pub enum TlsError {
    /// The authority's file can't be read, or holds none.
    #[error("{path}: no authority: {source}; give a file of certificates in PEM")]
    Authority {
        /// The file.
        path: String,
        /// Why not.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate in it can't be an authority.
    #[error("{path}: no authority: {source}; give a file of certificates in PEM")]
    Root {
        /// The file.
        path: String,
        /// Why not.
        source: rustls::Error,
    },
    /// It holds no certificate.
    #[error("{0}: there is no authority in it")]
    Empty(String),
    /// This router's certificate can't be read.
    #[error("{path}: no certificate: {source}; give a file of certificates in PEM")]
    Certificate {
        /// The file.
        path: String,
        /// Why not.
        source: rustls::pki_types::pem::Error,
    },
    /// Its key can't be read.
    #[error("{path}: no key: {source}; give a file with a private key in PEM")]
    Key {
        /// The file.
        path: String,
        /// Why not.
        source: rustls::pki_types::pem::Error,
    },
    /// The two don't belong together.
    #[error("{path}: certificate and key: {source}; give the key that the certificate was made for")]
    Pair {
        /// The key's file.
        path: String,
        /// Why not.
        source: rustls::Error,
    },
    /// The library knows no version of TLS that it may speak.
    #[error("no version of TLS: {0}")]
    Versions(rustls::Error),
}

/// When each of the files was last modified; `None` where that can't be read.
type ModificationTimes = Vec<Option<SystemTime>>;

/// The configuration that new connections use, and the files' times when it was read.
#[derive(Debug)]
struct Loaded {
    modified: ModificationTimes,
    config: Arc<ClientConfig>,
}

/// Makes TLS connections to the registry.
#[derive(Debug)]
pub struct Tls {
    files: RegistryTls,
    loaded: Mutex<Loaded>,
}

fn modification_times(files: &RegistryTls) -> ModificationTimes {
    let names = [Some(&files.ca_path), files.cert_path.as_ref(), files.key_path.as_ref()];
    names.into_iter().flatten().map(|f| std::fs::metadata(f).and_then(|m| m.modified()).ok()).collect()
}

fn read_roots(files: &RegistryTls) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    let unread = |source| TlsError::Authority { path: files.ca_path.clone(), source };
    for certificate in CertificateDer::pem_file_iter(&files.ca_path).map_err(unread)? {
        let added = roots.add(certificate.map_err(unread)?);
        added.map_err(|source| TlsError::Root { path: files.ca_path.clone(), source })?;
    }
    if roots.is_empty() {
        return Err(TlsError::Empty(files.ca_path.clone()));
    }
    Ok(roots)
}

fn read_config(files: &RegistryTls) -> Result<ClientConfig, TlsError> {
    let roots = read_roots(files)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(TlsError::Versions)?.with_root_certificates(roots);
    let (Some(cert), Some(key)) = (&files.cert_path, &files.key_path) else {
        return Ok(builder.with_no_client_auth());
    };
    let chain = CertificateDer::pem_file_iter(cert).and_then(Iterator::collect);
    let chain: Vec<CertificateDer> =
        chain.map_err(|source| TlsError::Certificate { path: cert.clone(), source })?;
    let private =
        PrivateKeyDer::from_pem_file(key).map_err(|source| TlsError::Key { path: key.clone(), source })?;
    let pair = builder.with_client_auth_cert(chain, private);
    pair.map_err(|source| TlsError::Pair { path: key.clone(), source })
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    /// One of them can't be used.
    pub fn new(files: RegistryTls) -> Result<Tls, TlsError> {
        let modified = modification_times(&files);
        let loaded = Loaded { modified, config: Arc::new(read_config(&files)?) };
        Ok(Tls { files, loaded: Mutex::new(loaded) })
    }

    /// What new connections use. Files that have changed are read again; faulty ones leave the old ones in force.
    fn current_config(&self) -> Arc<ClientConfig> {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let modified = modification_times(&self.files);
        if loaded.modified != modified {
            // Also where the files are faulty: each change is reported once.
            loaded.modified = modified;
            match read_config(&self.files) {
                Ok(config) => {
                    loaded.config = Arc::new(config);
                    tracing::info!("registry certificates reloaded");
                }
                Err(error) => {
                    tracing::error!(%error, "registry certificates rejected, the old ones stay in force");
                }
            }
        }
        loaded.config.clone()
    }

    /// A connection on a socket; the handshake comes with the first bytes.
    ///
    /// # Errors
    /// The name to verify is no DNS name.
    pub fn connect(
        &self,
        socket: TcpStream,
        ip: IpAddr,
    ) -> io::Result<Box<StreamOwned<ClientConnection, TcpStream>>> {
        let name = match &self.files.server_name {
            Some(n) => ServerName::try_from(n.clone()).map_err(io::Error::other)?,
            None => ServerName::from(ip),
        };
        let connection = ClientConnection::new(self.current_config(), name).map_err(io::Error::other)?;
        Ok(Box::new(StreamOwned::new(connection, socket)))
    }
}
