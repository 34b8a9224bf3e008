//! Certificates of processes, and API keys.
//!
//! A folder holds `authority.pem` (certificates of the trusted authorities, the signing one first),
//! `authority.key`, and `VM.ROLE.pem` and `VM.ROLE.key` for each process. The authority is replaced in
//! three steps with a rolling restart after each, so that every process always trusts the certificates
//! of all others: add the new authority, issue certificates under it, remove the old one.
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
use crate::report::{Exit, Report, Stop};

const AUTHORITY: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";
const NEXT_AUTHORITY: &str = "next-authority.pem";
const NEXT_AUTHORITY_KEY: &str = "next-authority.key";

/// Access to private keys: the owner only.
const KEY_MODE: u32 = 0o600;

/// Runs a command on keys.
pub fn run(command: KeysCommand) -> Result {
    match command {
        KeysCommand::New { dir, vm, role } => new(&dir, &vm, role),
        KeysCommand::Rotate { dir, vm: None } => rotate(&dir),
        KeysCommand::Rotate { dir, vm: Some(vm) } => reissue(&dir, &vm),
        KeysCommand::Show { dir } => show(&dir),
        KeysCommand::Api => Ok(api()),
    }
}

fn new(dir: &Path, vm: &str, role: Role) -> Result {
    let valid = !vm.is_empty()
        && vm
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if !valid || vm.starts_with('.') {
        return Err(Stop::usage(format!(
            "{vm:?} is not usable as a VM name in certificates; expected letters, digits, \"-\", \"_\", \".\""
        )));
    }
    fs::create_dir_all(dir).map_err(|error| failed("create", dir, &error))?;
    let process = Process::new(dir, vm, role.0);
    if process.certificate.exists() {
        return Err(Stop::usage(format!(
            "{} exists; replace it with primrosepin keys rotate --dir {} --vm {vm}",
            process.certificate.display(),
            dir.display()
        )));
    }
    let mut lines = Vec::new();
    if !dir.join(AUTHORITY).exists() {
        if dir.join(AUTHORITY_KEY).exists() {
            return Err(Stop::usage(format!(
                "{} has {AUTHORITY_KEY} but no {AUTHORITY}; restore it from a copy",
                dir.display()
            )));
        }
        let authority = Authority::new().map_err(Stop::usage)?;
        write_key(&dir.join(AUTHORITY_KEY), &authority.key())?;
        write_file(&dir.join(AUTHORITY), authority.certificate())?;
        lines.push(format!("created authority in {}", dir.display()));
    }
    process.issue(&signing_authority(dir)?)?;
    lines.push(format!(
        "created {} and {}\nCopy these two and {} to the VM, readable by primrosepin only. Keep \
         {AUTHORITY_KEY} here.",
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

/// Replaces the keys of one VM under the present authority.
fn reissue(dir: &Path, vm: &str) -> Result {
    let authority = signing_authority(dir)?;
    let processes: Vec<_> = processes(dir)?
        .into_iter()
        .filter(|process| process.vm == vm)
        .collect();
    if processes.is_empty() {
        return Err(Stop::usage(format!(
            "{} has no certificate of {vm}; create one with primrosepin keys new",
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
             The earlier certificate stays valid until the authority is replaced: after a theft of a \
             key, run primrosepin keys rotate --dir {} as well.",
            dir.display()
        ),
    ))
}

/// Takes the next step of replacing the authority. Each step can be repeated if it broke off.
fn rotate(dir: &Path) -> Result {
    let trusted = read(&dir.join(AUTHORITY))?;
    let certificates = pem_blocks(&trusted);
    let Some(first) = certificates.first() else {
        return Err(Stop::usage(format!(
            "{} holds no certificate",
            dir.join(AUTHORITY).display()
        )));
    };
    let has_next = dir.join(NEXT_AUTHORITY).exists();
    // A key without its certificate is left by a first step that broke off.
    let begun = !has_next && dir.join(NEXT_AUTHORITY_KEY).exists();
    let text = if has_next {
        issue_all(dir, &certificates)?
    } else if certificates.len() > 1 && !begun {
        write_file(&dir.join(AUTHORITY), first)?;
        format!(
            "step 3 of 3: removed the old authority from {AUTHORITY}.\nCopy {AUTHORITY} to each VM and \
             restart the processes one by one. The rotation is then complete."
        )
    } else {
        let authority = Authority::new().map_err(Stop::usage)?;
        write_key(&dir.join(NEXT_AUTHORITY_KEY), &authority.key())?;
        let both = format!("{first}{}", authority.certificate());
        write_file(&dir.join(AUTHORITY), &both)?;
        write_file(&dir.join(NEXT_AUTHORITY), authority.certificate())?;
        format!(
            "step 1 of 3: added a new authority to {AUTHORITY}; certificates are still issued by the old \
             one.\nCopy {AUTHORITY} to each VM, restart the processes one by one, then run this command \
             again."
        )
    };
    Ok(Report::message(Exit::Done, text))
}

/// Makes the next authority the signing one and issues all certificates under it.
fn issue_all(dir: &Path, certificates: &[String]) -> Result<String> {
    let next = dir.join(NEXT_AUTHORITY);
    let next_key = dir.join(NEXT_AUTHORITY_KEY);
    // The key is removed next to last, so without it only the last removal is left.
    if next_key.exists() {
        let certificate = read(&next)?;
        let key = read(&next_key)?;
        let authority = Authority::from_pem(&certificate, &key).map_err(Stop::usage)?;
        let others = certificates
            .iter()
            .filter(|block| block.trim() != certificate.trim());
        let old: Vec<_> = others.cloned().collect();
        for process in processes(dir)? {
            process.issue(&authority)?;
        }
        let both = format!("{}\n{}", certificate.trim(), old.concat());
        write_file(&dir.join(AUTHORITY), &both)?;
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

/// Prints a new API key. Control and entry VMs keep only its SHA-256.
fn api() -> Report {
    let secret: [u8; 32] = rand::random();
    let key = format!("pp-{}", hex(&secret));
    let hash = hex(&Sha256::digest(&key));
    Report::new(
        Exit::Done,
        format!("key     {key}\nsha256  {hash}"),
        json!({ "key": key, "sha256": hash }),
    )
}

/// Files of one process.
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
        let identity = authority.issue(&self.vm, self.role).map_err(Stop::usage)?;
        write_key(&self.key, &identity.key)?;
        write_file(&self.certificate, &identity.certificate)
    }
}

/// Returns the processes with a certificate in the folder, by name.
fn processes(dir: &Path) -> Result<Vec<Process>> {
    let entries = fs::read_dir(dir).map_err(|error| failed("read", dir, &error))?;
    let mut found = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|error| failed("read", dir, &error))?;
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
        return Err(Stop::usage(format!(
            "{} holds no certificate",
            dir.join(AUTHORITY).display()
        )));
    };
    Authority::from_pem(first, &read(&dir.join(AUTHORITY_KEY))?).map_err(Stop::usage)
}

/// Splits a PEM file into its certificates.
fn pem_blocks(text: &str) -> Vec<String> {
    const END: &str = "-----END CERTIFICATE-----";
    let blocks = text.split_inclusive(END);
    let whole = blocks.filter(|block| block.ends_with(END));
    whole.map(|block| format!("{}\n", block.trim())).collect()
}

/// Returns the SHA-256 of a certificate, as other tools show it.
fn fingerprint(pem: &str) -> String {
    match CertificateDer::from_pem_slice(pem.as_bytes()) {
        Ok(certificate) => hex(&Sha256::digest(&certificate)),
        Err(_) => "not a certificate".into(),
    }
}

/// Returns whether the authority signed the certificate, by the check that processes make.
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
    fs::read_to_string(path).map_err(|error| failed("read", path, &error))
}

fn remove(path: &Path) -> Result<()> {
    fs::remove_file(path).map_err(|error| failed("remove", path, &error))
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    write(path, text, None).map_err(|error| failed("write", path, &error))
}

fn write_key(path: &Path, text: &str) -> Result<()> {
    write(path, text, Some(KEY_MODE)).map_err(|error| failed("write", path, &error))
}

fn failed(verb: &str, path: &Path, error: &std::io::Error) -> Stop {
    Stop::usage(format!("cannot {verb} {}: {error}", path.display()))
}

/// Replaces a file as a whole, so that a crash leaves the old or the new text. With `mode` the file
/// never has wider access, without it an existing file keeps its access.
pub(crate) fn write(path: &Path, text: &str, mode: Option<u32>) -> std::io::Result<()> {
    use std::os::unix::fs::PermissionsExt;

    let folder = match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    let present = fs::metadata(path).map(|metadata| metadata.permissions().mode());
    let mode = mode.unwrap_or_else(|| present.unwrap_or(0o644));
    file.as_file()
        .set_permissions(fs::Permissions::from_mode(mode))?;
    file.as_file().sync_all()?;
    file.persist(path).map_err(|error| error.error)?;
    fs::File::open(folder)?.sync_all()
}
