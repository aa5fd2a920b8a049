//! TLS connections to the registry with a private CA and an optional client certificate. Changed files are
//! reloaded.
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use settings::operator::RegistryTls;
use std::io;
use std::net::{IpAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use thiserror::Error;

/// Why the TLS files cannot be used. Errors name the file concerned.
#[derive(Debug, Error)]
pub enum TlsError {
    /// The CA file cannot be read or parsed.
    #[error("{path}: cannot read the CA certificates: {source}; give a file of certificates in PEM")]
    Authority {
        /// The path of the CA file.
        path: String,
        /// The error of the PEM reader.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate in the CA file cannot be used as a CA.
    #[error("{path}: invalid CA certificate: {source}; give a file of certificates in PEM")]
    Root {
        /// The path of the CA file.
        path: String,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The CA file contains no certificate.
    #[error("{0}: the file contains no CA certificate")]
    Empty(String),
    /// The client certificate cannot be read.
    #[error("{path}: cannot read the client certificate: {source}; give a file of certificates in PEM")]
    Certificate {
        /// The path of the client certificate's file.
        path: String,
        /// The error of the PEM reader.
        source: rustls::pki_types::pem::Error,
    },
    /// The private key of the client certificate cannot be read.
    #[error("{path}: cannot read the private key: {source}; give a file with a private key in PEM")]
    Key {
        /// The path of the private key's file.
        path: String,
        /// The error of the PEM reader.
        source: rustls::pki_types::pem::Error,
    },
    /// The client certificate and the private key do not match.
    #[error("{path}: the private key does not match the client certificate: {source}; give the matching key")]
    Pair {
        /// The path of the key file.
        path: String,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The TLS library supports none of the allowed protocol versions.
    #[error("no usable TLS version: {0}")]
    Versions(rustls::Error),
}

/// The modification time of each file; `None` if it cannot be read.
type ModificationTimes = Vec<Option<SystemTime>>;

/// The TLS configuration of new connections, and the modification times of the files when it was loaded.
#[derive(Debug)]
struct LoadedConfig {
    modified: ModificationTimes,
    config: Arc<ClientConfig>,
}

/// Creates TLS connections to the registry.
#[derive(Debug)]
pub struct Tls {
    files: RegistryTls,
    loaded: Mutex<LoadedConfig>,
}

fn modification_times(files: &RegistryTls) -> ModificationTimes {
    let names = [Some(&files.ca_path), files.cert_path.as_ref(), files.key_path.as_ref()];
    names.into_iter().flatten().map(|f| std::fs::metadata(f).and_then(|m| m.modified()).ok()).collect()
}

fn read_roots(files: &RegistryTls) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    let read_error = |source| TlsError::Authority { path: files.ca_path.clone(), source };
    for certificate in CertificateDer::pem_file_iter(&files.ca_path).map_err(read_error)? {
        let added = roots.add(certificate.map_err(read_error)?);
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
    let private_key =
        PrivateKeyDer::from_pem_file(key).map_err(|source| TlsError::Key { path: key.clone(), source })?;
    let config = builder.with_client_auth_cert(chain, private_key);
    config.map_err(|source| TlsError::Pair { path: key.clone(), source })
}

impl Tls {
    /// Loads the files.
    ///
    /// # Errors
    /// If one of the files is unreadable or invalid.
    pub fn new(files: RegistryTls) -> Result<Tls, TlsError> {
        let modified = modification_times(&files);
        let loaded = LoadedConfig { modified, config: Arc::new(read_config(&files)?) };
        Ok(Tls { files, loaded: Mutex::new(loaded) })
    }

    /// The configuration for new connections. Changed files are reloaded; if they are invalid, the old
    /// configuration stays in force.
    fn current_config(&self) -> Arc<ClientConfig> {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let modified = modification_times(&self.files);
        if loaded.modified != modified {
            // The modification times are also stored if the files turn out to be invalid, so that each change
            // is logged once.
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

    /// Wraps a connected socket in TLS; the handshake takes place at the first read or write.
    ///
    /// # Errors
    /// If the configured server name is not a DNS name.
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
