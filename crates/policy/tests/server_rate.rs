//! The rate that a backend server states in its answers, and the queue that keeps to it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use savorykeel_policy::{
    calls::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest, Release, Ticket},
    ids::RouteName,
    server::rate::{RequestRate, TokenBucket},
    time::Tick,
};
use yare::parameterized;

/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 120;

/// Length of a simulation, in milliseconds.
const LENGTH_MS: u64 = 20_000;

const URGENT: u32 = 0;
const NORMAL: u32 = 3;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

/// Returns the largest number of moments within one window.
fn most_in_window(at: &[u64]) -> usize {
    let count =
        |first: &u64| at.iter().filter(|ms| (*first..*first + WINDOW_MS).contains(ms)).count();
    at.iter().map(count).max().unwrap_or(0)
}

/// Returns the most requests that a backend server which states a rate may get in a window.
fn allowed_in_window(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

#[parameterized(nan = { f64::NAN }, infinite = { f64::INFINITY }, negative = { -1.0 })]
fn a_number_that_is_no_rate_is_rejected(per_second: f64) {
    assert!(RequestRate::try_from(per_second).is_err());
}

#[parameterized(
    none = { 0.0 },
    rare = { 0.2 },
    low = { 7.0 },
    usual = { 38.7 },
    high = { 700.0 },
)]
fn a_bucket_keeps_to_its_rate_and_lets_some_requests_through(per_second: f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut bucket = TokenBucket::new(rate(per_second), Tick(0));
    let starts: Vec<u64> = (0..LENGTH_MS)
        .flat_map(|ms| std::iter::repeat_n(ms, rng.random_range(0..4)))
        .filter(|ms| bucket.try_take(Tick(*ms)))
        .collect();
    let most = most_in_window(&starts);
    assert!(most <= allowed_in_window(per_second), "{most} requests in a window");
    let usable = per_second * LENGTH_MS as f64 / 1_000.0;
    assert!(starts.len() as f64 >= (0.95 * usable).max(3.0), "only {} requests", starts.len());
}

/// Starts of requests by priority, and the numbers of requests that came.
#[derive(Default)]
struct Served {
    starts: Vec<u64>,
    started: BTreeMap<u32, usize>,
    offered: BTreeMap<u32, usize>,
}

/// Simulates the queue beside a backend server that runs each request for [`RUN_MS`].
fn simulate(per_second: f64, load_per_ms: f64, rng: &mut impl Rng) -> Served {
    let route = RouteName::try_from("price").unwrap();
    let mut queue = AdmissionQueue::new(12);
    queue.set_rate(Some(rate(per_second)), Tick(0));
    let mut served = Served::default();
    let (mut waiting, mut run_ends): (BTreeMap<Ticket, u32>, Vec<u64>) = Default::default();
    for ms in 0..LENGTH_MS {
        let now = Tick(ms);
        let mut started = Vec::new();
        let ended = run_ends.iter().filter(|end| **end == ms).count();
        run_ends.retain(|end| *end != ms);
        let mut releases: Vec<Release> =
            (0..ended).map(|_| queue.release(&route, Duration::from_millis(RUN_MS), now)).collect();
        releases.push(queue.start_queued(now));
        for priority in [URGENT, NORMAL] {
            if !rng.random_bool(load_per_ms / 2.0) {
                continue;
            }
            *served.offered.entry(priority).or_default() += 1;
            let request = AdmissionRequest {
                caller: Arc::from(""),
                route: route.clone(),
                priority,
                objective_at: Tick(ms + 400),
                deadline: Tick(ms + 2_500),
            };
            let mut release = Release::default();
            match queue.offer(&request, now, &mut release) {
                AdmissionDecision::Start => started.push(priority),
                AdmissionDecision::Wait(ticket) => {
                    waiting.insert(ticket, priority);
                }
                AdmissionDecision::Shed(_) => {}
            }
            releases.push(release);
        }
        let tickets = releases.into_iter().flat_map(|release| release.started);
        started.extend(tickets.map(|ticket| waiting.remove(&ticket).unwrap()));
        for priority in started {
            served.starts.push(ms);
            *served.started.entry(priority).or_default() += 1;
            run_ends.push(ms + RUN_MS);
        }
    }
    served
}

/// Load: two and a half times what the backend server takes, half of it urgent.
#[test]
fn a_surplus_over_the_stated_rate_is_shed_from_what_is_less_urgent() {
    let served = simulate(38.7, 0.0387 * 2.5, &mut StdRng::seed_from_u64(2));
    let most = most_in_window(&served.starts);
    assert!(most <= allowed_in_window(38.7), "{most} requests in a window");
    let share = |priority| served.started[&priority] as f64 / served.offered[&priority] as f64;
    let usable = 38.7 * LENGTH_MS as f64 / 1_000.0;
    assert!(served.starts.len() as f64 > 0.95 * usable, "{} starts", served.starts.len());
    assert!(share(URGENT) > 2.0 * share(NORMAL), "{:?}", served.started);
}

/// Load: four fifths of what the backend server takes, in random clumps.
#[test]
fn a_load_below_the_stated_rate_is_served() {
    let served = simulate(38.7, 0.0387 * 0.8, &mut StdRng::seed_from_u64(3));
    let offered: usize = served.offered.values().sum();
    assert!(served.starts.len() * 100 >= offered * 99, "{} of {offered}", served.starts.len());
}

#[test]
fn requests_wait_only_for_slots_once_no_rate_is_stated() {
    let mut queue = AdmissionQueue::new(12);
    queue.set_rate(Some(rate(1.0)), Tick(0));
    let request = AdmissionRequest {
        caller: Arc::from(""),
        route: RouteName::try_from("price").unwrap(),
        priority: NORMAL,
        objective_at: Tick(2_000),
        deadline: Tick(2_000),
    };
    let decision = queue.offer(&request, Tick(0), &mut Release::default());
    let AdmissionDecision::Wait(ticket) = decision else { panic!("{decision:?}") };
    assert_eq!(queue.time_to_next_token(Tick(0)), Some(Duration::from_secs(1)));
    let release = queue.set_rate(None, Tick(10));
    assert_eq!(release.started, [ticket]);
    assert_eq!(queue.rate_wait(Tick(10)), Duration::ZERO);
}
