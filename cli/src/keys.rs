//! Commands for certificates of processes and for API keys.
//!
//! A folder contains `authority.pem` (certificates of the trusted authorities, the issuing one first),
//! `authority.key`, and `VM.ROLE.pem` and `VM.ROLE.key` for each process. The authority is replaced in
//! three steps with a rolling restart after each, so that every process trusts the certificates of all
//! others at any time:
//!
//! 1. Add the new authority to `authority.pem`.
//! 2. Issue all certificates under the new authority.
//! 3. Remove the old authority from `authority.pem`.
//!
//! `next-authority.pem` and `next-authority.key` exist between the first and the second step.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use primrosepin_transport::keys::Authority;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, UnixTime};
use rustls::server::WebPkiClientVerifier;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::Result;
use crate::options::{KeysCommand, Role};
use crate::report::{Exit, Failure, Report};

const AUTHORITY: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";
const NEXT_AUTHORITY: &str = "next-authority.pem";
const NEXT_AUTHORITY_KEY: &str = "next-authority.key";

/// File mode of private keys: access by the owner only.
const KEY_FILE_MODE: u32 = 0o600;

/// Runs a `keys` command.
pub fn run(command: KeysCommand) -> Result {
    match command {
        KeysCommand::New { dir, vm, role } => new(&dir, &vm, role),
        KeysCommand::Rotate { dir, vm: None } => rotate(&dir),
        KeysCommand::Rotate { dir, vm: Some(vm) } => reissue(&dir, &vm),
        KeysCommand::Show { dir } => show(&dir),
        KeysCommand::Api => Ok(new_api_key()),
    }
}

fn new(dir: &Path, vm: &str, role: Role) -> Result {
    let valid = !vm.is_empty()
        && vm
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if !valid || vm.starts_with('.') {
        return Err(Failure::usage(format!(
            "invalid VM name {vm:?}: expected letters, digits, \"-\", \"_\" and \".\", not starting with \".\""
        )));
    }
    fs::create_dir_all(dir).map_err(|error| io_failure("create", dir, &error))?;
    let process = Process::new(dir, vm, role.0);
    if process.certificate.exists() {
        return Err(Failure::usage(format!(
            "{} already exists; replace it with primrosepin keys rotate --dir {} --vm {vm}",
            process.certificate.display(),
            dir.display()
        )));
    }
    let mut lines = Vec::new();
    if !dir.join(AUTHORITY).exists() {
        if dir.join(AUTHORITY_KEY).exists() {
            return Err(Failure::usage(format!(
                "{} contains {AUTHORITY_KEY} but no {AUTHORITY}; restore {AUTHORITY} from a backup",
                dir.display()
            )));
        }
        let authority = Authority::new().map_err(Failure::usage)?;
        write_key(&dir.join(AUTHORITY_KEY), &authority.key())?;
        write_file(&dir.join(AUTHORITY), authority.certificate())?;
        lines.push(format!("created authority in {}", dir.display()));
    }
    process.issue(&signing_authority(dir)?)?;
    lines.push(format!(
        "created {} and {}\nCopy both files and {} to the VM, readable only by primrosepin. Do not \
         copy {AUTHORITY_KEY} to any VM.",
        process.certificate.display(),
        process.key.display(),
        dir.join(AUTHORITY).display(),
    ));
    Ok(Report::new(
        Exit::Done,
        lines.join("\n"),
        json!({
            "authority": dir.join(AUTHORITY),
            "certificate": process.certificate,
            "key": process.key,
        }),
    ))
}

/// Issues new keys and certificates for one VM under the current authority.
fn reissue(dir: &Path, vm: &str) -> Result {
    let authority = signing_authority(dir)?;
    let processes: Vec<_> = processes(dir)?
        .into_iter()
        .filter(|process| process.vm == vm)
        .collect();
    if processes.is_empty() {
        return Err(Failure::usage(format!(
            "{} contains no certificate of {vm}; create one with primrosepin keys new",
            dir.display()
        )));
    }
    for process in &processes {
        process.issue(&authority)?;
    }
    Ok(Report::message(
        Exit::Done,
        format!(
            "issued a new certificate and key for {vm}. Copy them to the VM and restart the process.\n\
             The previous certificate stays valid until the authority is replaced: if the key was \
             compromised, also run primrosepin keys rotate --dir {}.",
            dir.display()
        ),
    ))
}

/// Runs the next step of replacing the authority. An interrupted step can be run again.
fn rotate(dir: &Path) -> Result {
    let trusted = read(&dir.join(AUTHORITY))?;
    let certificates = pem_blocks(&trusted);
    let Some(first) = certificates.first() else {
        return Err(Failure::usage(format!(
            "{} contains no certificate",
            dir.join(AUTHORITY).display()
        )));
    };
    let has_next = dir.join(NEXT_AUTHORITY).exists();
    // An interrupted first step leaves the key of the next authority without its certificate.
    let first_step_interrupted = !has_next && dir.join(NEXT_AUTHORITY_KEY).exists();
    let text = if has_next {
        issue_all(dir, &certificates)?
    } else if certificates.len() > 1 && !first_step_interrupted {
        write_file(&dir.join(AUTHORITY), first)?;
        format!(
            "step 3 of 3: removed the old authority from {AUTHORITY}.\nCopy {AUTHORITY} to each VM and \
             restart the processes one by one. The rotation is then complete."
        )
    } else {
        let authority = Authority::new().map_err(Failure::usage)?;
        write_key(&dir.join(NEXT_AUTHORITY_KEY), &authority.key())?;
        let bundle = format!("{first}{}", authority.certificate());
        write_file(&dir.join(AUTHORITY), &bundle)?;
        write_file(&dir.join(NEXT_AUTHORITY), authority.certificate())?;
        format!(
            "step 1 of 3: added a new authority to {AUTHORITY}; the old authority still issues \
             certificates.\nCopy {AUTHORITY} to each VM, restart the processes one by one, then run this command \
             again."
        )
    };
    Ok(Report::message(Exit::Done, text))
}

/// Issues all certificates under the next authority and makes it the issuing one.
fn issue_all(dir: &Path, certificates: &[String]) -> Result<String> {
    let next = dir.join(NEXT_AUTHORITY);
    let next_key = dir.join(NEXT_AUTHORITY_KEY);
    // The key of the next authority is removed second to last, so without it only the certificate remains to
    // be removed.
    if next_key.exists() {
        let certificate = read(&next)?;
        let key = read(&next_key)?;
        let authority = Authority::from_pem(&certificate, &key).map_err(Failure::usage)?;
        let others = certificates
            .iter()
            .filter(|block| block.trim() != certificate.trim());
        let old: Vec<_> = others.cloned().collect();
        for process in processes(dir)? {
            process.issue(&authority)?;
        }
        let bundle = format!("{}\n{}", certificate.trim(), old.concat());
        write_file(&dir.join(AUTHORITY), &bundle)?;
        write_key(&dir.join(AUTHORITY_KEY), &key)?;
        remove(&next_key)?;
    }
    remove(&next)?;
    Ok(format!(
        "step 2 of 3: issued {} certificates under the new authority.\nCopy each VM's certificate and \
         key to it, restart the processes one by one, then run this command again.",
        processes(dir)?.len()
    ))
}

fn show(dir: &Path) -> Result {
    let trusted = pem_blocks(&read(&dir.join(AUTHORITY))?);
    let step = match (dir.join(NEXT_AUTHORITY).exists(), trusted.len()) {
        (true, _) => "rotation: step 1 of 3 is done",
        (false, 1) => "no rotation under way",
        (false, _) => "rotation: step 2 of 3 is done",
    };
    let mut lines = vec![format!("{}: {step}", dir.display())];
    let mut authorities = Vec::new();
    for block in &trusted {
        let hash = fingerprint(block);
        lines.push(format!("authority  {hash}"));
        authorities.push(hash);
    }
    let mut certificates = Vec::new();
    for process in processes(dir)? {
        let pem = read(&process.certificate)?;
        let hash = fingerprint(&pem);
        let issuer = trusted.iter().position(|authority| verify(authority, &pem));
        let issuer_text = match issuer {
            Some(0) => "signed by the first authority",
            Some(_) => "signed by another trusted authority",
            None => "NOT signed by a trusted authority",
        };
        lines.push(format!(
            "{:8} {:24} {hash} {issuer_text}",
            process.role.as_str(),
            process.vm
        ));
        certificates.push(json!({
            "vm": process.vm,
            "role": process.role.as_str(),
            "sha256": hash,
            "authority": issuer.map(|index| &authorities[index]),
        }));
    }
    Ok(Report::new(
        Exit::Done,
        lines.join("\n"),
        json!({ "step": step, "authorities": authorities, "certificates": certificates }),
    ))
}

/// Creates an API key. Control and entry VMs store only its SHA-256.
fn new_api_key() -> Report {
    let secret: [u8; 32] = rand::random();
    let key = format!("pp-{}", hex(&secret));
    let hash = hex(&Sha256::digest(&key));
    Report::new(
        Exit::Done,
        format!("key     {key}\nsha256  {hash}"),
        json!({ "key": key, "sha256": hash }),
    )
}

/// Certificate and key files of one process.
struct Process {
    vm: String,
    role: primrosepin_transport::Role,
    certificate: PathBuf,
    key: PathBuf,
}

impl Process {
    fn new(dir: &Path, vm: &str, role: primrosepin_transport::Role) -> Self {
        let stem = format!("{vm}.{}", role.as_str());
        Self {
            vm: vm.to_owned(),
            role,
            certificate: dir.join(format!("{stem}.pem")),
            key: dir.join(format!("{stem}.key")),
        }
    }

    fn issue(&self, authority: &Authority) -> Result<()> {
        let identity = authority
            .issue(&self.vm, self.role)
            .map_err(Failure::usage)?;
        write_key(&self.key, &identity.key)?;
        write_file(&self.certificate, &identity.certificate)
    }
}

/// Returns the processes that have a certificate in the folder, sorted by VM and role.
fn processes(dir: &Path) -> Result<Vec<Process>> {
    let entries = fs::read_dir(dir).map_err(|error| io_failure("read", dir, &error))?;
    let mut found = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|error| io_failure("read", dir, &error))?;
        let name = entry.file_name();
        let Some((vm, role)) = name
            .to_str()
            .and_then(|name| name.strip_suffix(".pem"))
            .and_then(|stem| stem.rsplit_once('.'))
        else {
            continue;
        };
        if let Some(role) = primrosepin_transport::Role::parse(role) {
            found.push(Process::new(dir, vm, role));
        }
    }
    found.sort_by(|a, b| (&a.vm, a.role.as_str()).cmp(&(&b.vm, b.role.as_str())));
    Ok(found)
}

fn signing_authority(dir: &Path) -> Result<Authority> {
    let trusted = pem_blocks(&read(&dir.join(AUTHORITY))?);
    let Some(first) = trusted.first() else {
        return Err(Failure::usage(format!(
            "{} contains no certificate",
            dir.join(AUTHORITY).display()
        )));
    };
    Authority::from_pem(first, &read(&dir.join(AUTHORITY_KEY))?).map_err(Failure::usage)
}

/// Splits a PEM file into its certificates; an incomplete last block is dropped.
fn pem_blocks(text: &str) -> Vec<String> {
    const END: &str = "-----END CERTIFICATE-----";
    let blocks = text.split_inclusive(END);
    let complete = blocks.filter(|block| block.ends_with(END));
    complete
        .map(|block| format!("{}\n", block.trim()))
        .collect()
}

/// Returns the SHA-256 fingerprint of a certificate, computed over its DER encoding.
fn fingerprint(pem: &str) -> String {
    match CertificateDer::from_pem_slice(pem.as_bytes()) {
        Ok(certificate) => hex(&Sha256::digest(&certificate)),
        Err(_) => "not a certificate".into(),
    }
}

/// Returns whether the certificate verifies under the authority, with the verifier that processes use.
fn verify(authority: &str, pem: &str) -> bool {
    let verifier = || {
        let mut roots = rustls::RootCertStore::empty();
        let authority = CertificateDer::from_pem_slice(authority.as_bytes()).ok()?;
        roots.add(authority).ok()?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider)
            .build()
            .ok()
    };
    let certificate = CertificateDer::from_pem_slice(pem.as_bytes()).ok();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    match (verifier(), certificate, now) {
        (Some(verifier), Some(certificate), Ok(now)) => verifier
            .verify_client_cert(&certificate, &[], UnixTime::since_unix_epoch(now))
            .is_ok(),
        _ => false,
    }
}

fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    digits
        .filter_map(|digit| char::from_digit(digit.into(), 16))
        .collect()
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| io_failure("read", path, &error))
}

fn remove(path: &Path) -> Result<()> {
    fs::remove_file(path).map_err(|error| io_failure("remove", path, &error))
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    write(path, text, None).map_err(|error| io_failure("write", path, &error))
}

fn write_key(path: &Path, text: &str) -> Result<()> {
    write(path, text, Some(KEY_FILE_MODE)).map_err(|error| io_failure("write", path, &error))
}

fn io_failure(verb: &str, path: &Path, error: &std::io::Error) -> Failure {
    Failure::usage(format!("cannot {verb} {}: {error}", path.display()))
}

/// Replaces a file atomically, so that a crash leaves either the old or the new contents. With `mode`, the
/// file never has wider permissions; without it, an existing file keeps its permissions.
pub(crate) fn write(path: &Path, text: &str, mode: Option<u32>) -> std::io::Result<()> {
    use std::os::unix::fs::PermissionsExt;

    let folder = match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    let existing = fs::metadata(path).map(|metadata| metadata.permissions().mode());
    let mode = mode.unwrap_or_else(|| existing.unwrap_or(0o644));
    file.as_file()
        .set_permissions(fs::Permissions::from_mode(mode))?;
    file.as_file().sync_all()?;
    file.persist(path).map_err(|error| error.error)?;
    fs::File::open(folder)?.sync_all()
}
