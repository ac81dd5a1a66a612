//! The scenarios that are measured, most of them with and without a mechanism.

use std::{collections::BTreeMap, net::SocketAddr, thread, time::Duration};

use anyhow::Context;
use savorykeel_node::settings::RawTesting;
use savorykeel_standins::{caller::Request, proxy};

use crate::mesh::Mesh;

use super::{
    Options, SLOTS,
    generator::{self, CallResult, Stream},
    quantile_ms, start_mesh,
};

/// A scenario's name and function.
type Scenario = (&'static str, fn(&Options) -> anyhow::Result<()>);

/// All scenarios, in the order in which they run.
pub(super) const ALL: [Scenario; 5] = [
    ("overload", overload),
    ("slow-backend-server", slow_backend_server),
    ("silent-connection", silent_connection),
    ("crashing-request", crashing_request),
    ("keyed", keyed),
];

/// Time that a backend server takes for a request under overload, in milliseconds.
const RUN_TIME_MS: u64 = 50;

/// Number of backend servers under overload.
const OVERLOADED_SERVERS: usize = 3;

/// Fraction of calls that are urgent under overload.
const URGENT_SHARE: f64 = 0.1;

/// Deadline of calls under overload.
const DEADLINE: Duration = Duration::from_millis(500);

/// Number of times that the request that crashes backend servers is sent.
const RESENDS: usize = 50;

fn testing_switches(is_off: bool, switch: impl Fn(&mut RawTesting)) -> Option<RawTesting> {
    is_off.then(|| {
        let mut testing = RawTesting { breaks_promises: true, ..RawTesting::default() };
        switch(&mut testing);
        testing
    })
}

fn entry_address(mesh: &Mesh) -> anyhow::Result<SocketAddr> {
    mesh.members.last().and_then(|member| member.callers()).context("the mesh has no entry node")
}

fn get_stream(name: &'static str, path: &'static str, rate: f64) -> Stream {
    Stream { name, method: "GET", path, rate, deadline: None, keyed: false }
}

fn overload(options: &Options) -> anyhow::Result<()> {
    let capacity = (OVERLOADED_SERVERS * SLOTS) as f64 * 1_000.0 / RUN_TIME_MS as f64;
    println!("capacity {capacity:.0} calls/s, deadline {} ms", DEADLINE.as_millis());
    println!("| admission | load | goodput/s | p50 ms | p99 ms | urgent good | urgent p99 ms |");
    println!("|---|---|---|---|---|---|---|");
    for is_off in [true, false] {
        let testing = testing_switches(is_off, |testing| testing.without_admission = true);
        let mesh = start_mesh(options, &[RUN_TIME_MS; OVERLOADED_SERVERS], testing, false)?;
        for factor in [0.5, 1.0, 2.0, 5.0] {
            let rate = capacity * factor;
            let mut streams = vec![
                get_stream("normal", "/gate/state", rate * (1.0 - URGENT_SHARE)),
                get_stream("urgent", "/gate/urgent", rate * URGENT_SHARE),
            ];
            for stream in &mut streams {
                stream.deadline = Some(DEADLINE);
            }
            let calls = generator::run(entry_address(&mesh)?, &streams, options.duration)?;
            print_overload_round(options, if is_off { "off" } else { "on" }, factor, &calls);
        }
    }
    Ok(())
}

/// Prints one round; an answer after the deadline doesn't count as good, because
/// its caller has given up.
fn print_overload_round(options: &Options, admission: &str, factor: f64, calls: &[CallResult]) {
    let is_good = |call: &&CallResult| call.is_good && call.latency <= DEADLINE;
    let good = calls.iter().filter(is_good).count() as f64 / options.duration.as_secs_f64();
    let urgent: Vec<&CallResult> = calls.iter().filter(|call| call.stream == 1).collect();
    let urgent_good = urgent.iter().filter(|call| is_good(call)).count() as f64;
    println!(
        "| {admission} | {factor}x | {good:.0} | {:.1} | {:.1} | {:.1} % | {:.1} |",
        quantile_ms(calls.iter(), 0.5),
        quantile_ms(calls.iter(), 0.99),
        100.0 * urgent_good / urgent.len().max(1) as f64,
        quantile_ms(urgent.into_iter(), 0.99),
    );
}

fn slow_backend_server(options: &Options) -> anyhow::Result<()> {
    println!("| choice | calls/s | p50 ms | p99 ms | p99.9 ms | share of the slow one |");
    println!("|---|---|---|---|---|---|");
    for is_off in [true, false] {
        let testing = testing_switches(is_off, |testing| testing.round_robin = true);
        let mesh = start_mesh(options, &[200, 10, 10, 10, 10], testing, false)?;
        let rate = 200.0;
        let before = mesh.members[0].runs().len();
        let calls = generator::run(
            entry_address(&mesh)?,
            &[get_stream("get", "/gate/state", rate)],
            options.duration,
        )?;
        let slow = mesh.members[0].runs().len() - before;
        println!(
            "| {} | {rate:.0} | {:.1} | {:.1} | {:.1} | {:.1} % |",
            if is_off { "round robin" } else { "two choices" },
            quantile_ms(calls.iter(), 0.5),
            quantile_ms(calls.iter(), 0.99),
            quantile_ms(calls.iter(), 0.999),
            100.0 * slow as f64 / calls.len().max(1) as f64,
        );
    }
    Ok(())
}

fn silent_connection(options: &Options) -> anyhow::Result<()> {
    let mesh = start_mesh(options, &[10, 10, 10], None, true)?;
    let entry = entry_address(&mesh)?;
    let rate = 200.0;
    println!("| calls/s | connections | affected calls | failed | last affected after ms |");
    println!("|---|---|---|---|---|");
    let silence_at = options.duration / 2;
    let proxies: Vec<&proxy::Handle> =
        mesh.members.iter().filter_map(|member| member.proxy.as_ref()).collect();
    let calls = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(silence_at);
            for proxy in &proxies {
                proxy.silence_established();
            }
        });
        generator::run(entry, &[get_stream("get", "/gate/state", rate)], options.duration)
    })?;
    let is_affected =
        |call: &&CallResult| !call.is_good || call.latency > Duration::from_millis(200);
    let affected: Vec<&CallResult> = calls.iter().filter(is_affected).collect();
    let last_affected = affected.iter().map(|call| call.start_offset).max().unwrap_or_default();
    let failed = affected.iter().filter(|call| !call.is_good).count();
    println!(
        "| {rate:.0} | all silent | {} | {failed} | {} |",
        affected.len(),
        last_affected.saturating_sub(silence_at).as_millis(),
    );
    println!("failed by result code: {:?}", failures_by_code(&affected));
    Ok(())
}

fn failures_by_code(calls: &[&CallResult]) -> BTreeMap<Option<u16>, usize> {
    let mut counts = BTreeMap::new();
    for call in calls.iter().filter(|call| !call.is_good) {
        *counts.entry(call.code).or_default() += 1;
    }
    counts
}

fn crashing_request(options: &Options) -> anyhow::Result<()> {
    println!("| quarantine | sends | crashes of backend servers |");
    println!("|---|---|---|");
    for is_off in [true, false] {
        let testing = testing_switches(is_off, |testing| testing.without_quarantine = true);
        let mesh = start_mesh(options, &[10, 10, 10], testing, false)?;
        let entries = mesh.entries();
        for i in 0..RESENDS {
            let req = Request::post("/gate/change", "poison").header("X-Crash", "1");
            // The call may end in any way; only the crashes are measured.
            let _ = mesh.client.call(entries[i % entries.len()], req);
            thread::sleep(Duration::from_millis(100));
        }
        let backends = mesh.members.iter().filter_map(|member| member.backend());
        let crashes: u64 = backends.map(|backend| backend.counts().crashes).sum();
        println!("| {} | {RESENDS} | {crashes} |", if is_off { "off" } else { "on" });
    }
    Ok(())
}

fn keyed(options: &Options) -> anyhow::Result<()> {
    let mesh = start_mesh(options, &[5, 5, 5], None, false)?;
    let entry = entry_address(&mesh)?;
    let rate = 100.0;
    let post =
        |name, keyed| Stream { method: "POST", keyed, ..get_stream(name, "/gate/change", rate) };
    let streams =
        [get_stream("idempotent", "/gate/state", rate), post("plain", false), post("keyed", true)];
    let calls = generator::run(entry, &streams, options.duration)?;
    println!("| kind | calls | good | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|");
    for (i, stream) in streams.iter().enumerate() {
        let stream_calls: Vec<&CallResult> = calls.iter().filter(|call| call.stream == i).collect();
        println!(
            "| {} | {} | {} | {:.2} | {:.2} |",
            stream.name,
            stream_calls.len(),
            stream_calls.iter().filter(|call| call.is_good).count(),
            quantile_ms(stream_calls.iter().copied(), 0.5),
            quantile_ms(stream_calls.iter().copied(), 0.99),
        );
    }
    Ok(())
}
