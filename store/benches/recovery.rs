//! Time to open a store, by the number of entries in its log, and time of one synced append.

use std::hint::black_box;
use std::path::Path;

use criterion::{BenchmarkId, Criterion, Throughput};
use primrosepin_store::{Settings, Store};

/// Length of an entry, about that of an encoded ledger call.
const ENTRY_BYTES: usize = 256;

fn fill(folder: &Path, entries: u64) {
    let (mut store, _) = Store::open(&Settings::new(folder.to_owned())).unwrap();
    let body = [7; ENTRY_BYTES];
    for first in (1..=entries).step_by(1_000) {
        let indices = first..(first + 1_000).min(entries + 1);
        store
            .append(None, indices.map(|index| (index, &body[..])))
            .unwrap();
    }
}

fn recovery(c: &mut Criterion) {
    let mut group = c.benchmark_group("open");
    group.sample_size(10);
    for entries in [1_000, 10_000, 100_000] {
        let folder = tempfile::tempdir().unwrap();
        fill(folder.path(), entries);
        group.throughput(Throughput::Bytes(entries * ENTRY_BYTES as u64));
        group.bench_function(BenchmarkId::from_parameter(entries), |bencher| {
            bencher.iter(|| {
                let settings = Settings::new(folder.path().to_owned());
                black_box(Store::open(&settings).unwrap())
            });
        });
    }
    group.finish();
}

fn append(c: &mut Criterion) {
    let mut group = c.benchmark_group("append");
    group.sample_size(50);
    let body = [7; ENTRY_BYTES];
    for entries in [1_u64, 100] {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, _) = Store::open(&Settings::new(folder.path().to_owned())).unwrap();
        let mut next = 1;
        group.throughput(Throughput::Elements(entries));
        group.bench_function(BenchmarkId::from_parameter(entries), |bencher| {
            bencher.iter(|| {
                let indices = next..next + entries;
                store
                    .append(None, indices.map(|index| (index, &body[..])))
                    .unwrap();
                next += entries;
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    recovery(&mut criterion);
    append(&mut criterion);
    criterion.final_summary();
}
