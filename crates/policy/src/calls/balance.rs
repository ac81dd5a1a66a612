//! Choice of the backend server for one call.
//!
//! Two candidates are drawn at random and the cheaper one is taken, by the
//! node's own requests in flight and latency. Load that rides on replies and the
//! health endpoint are hints: they add to the cost but never decide alone. See
//! `docs/design/0006-load.md`.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt};

use crate::{ids::InstanceName, time::Tick};

/// Busy share of a backend server's slots from which on its availability zone
/// is no longer preferred.
const ZONE_PREFERENCE_LIMIT: f64 = 0.75;

/// Time in which a new backend server comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of the full weight with which a new backend server starts.
const SLOW_START_FLOOR: f64 = 0.1;

/// Failures in a row that eject a backend server.
const FAILURES_TO_EJECT: u32 = 5;

/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// Largest share of the candidates that may be ejected at once.
const EJECTED_SHARE: f64 = 0.5;

/// Time constant of the latency average.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);

/// Time constant with which an old latency counts less.
const LATENCY_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which a load hint counts.
const HINT_LIFETIME: Duration = Duration::from_secs(1);

/// Latency that is assumed before the first answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 1.0;

/// Time for which an unseen backend server is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// One backend server that may take the call.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of its instance.
    pub instance: InstanceName,
    /// Incarnation of the node beside it.
    pub incarnation: u64,
    /// Whether it is in the availability zone of this node.
    pub is_local: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether its node is suspected of being down.
    pub suspect: bool,
}

/// How a call ended, as far as it tells about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// It answered, whatever the answer says.
    Answered,
    /// It was shed; the backend server is busy, not broken.
    Shed,
    /// No answer came.
    Failed,
    /// The caller gave up; nothing is known.
    Cancelled,
}

/// Busy slots as a node last reported them.
#[derive(Debug, Clone, Copy)]
struct Hint {
    in_flight: u32,
    at: Tick,
}

#[derive(Debug)]
struct Tracked {
    incarnation: u64,
    first_seen: Tick,
    last_seen: Tick,
    in_flight: u32,
    latency_ms: f64,
    latency_at: Tick,
    hint: Option<Hint>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Tick>,
}

impl Tracked {
    fn new(incarnation: u64, first_seen: Tick, now: Tick) -> Self {
        Self {
            incarnation,
            first_seen,
            last_seen: now,
            in_flight: 0,
            latency_ms: INITIAL_LATENCY_MS,
            latency_at: now,
            hint: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    fn is_ejected(&self, now: Tick) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the requests in flight, as the larger of own view and hint.
    fn load(&self, now: Tick) -> u32 {
        let hint = self.hint.filter(|hint| now.since(hint.at) < HINT_LIFETIME);
        hint.map_or(self.in_flight, |hint| hint.in_flight.max(self.in_flight))
    }

    fn weight(&self, now: Tick) -> f64 {
        let warm = now.since(self.first_seen).as_secs_f64() / SLOW_START.as_secs_f64();
        warm.clamp(SLOW_START_FLOOR, 1.0)
    }

    /// Returns the latency, which counts less the older it is.
    ///
    /// A slow backend server would never be tried again otherwise.
    fn expected_latency_ms(&self, now: Tick) -> f64 {
        let age = now.since(self.latency_at).as_secs_f64();
        let kept = (-age / LATENCY_LIFETIME.as_secs_f64()).exp();
        (self.latency_ms * kept).max(INITIAL_LATENCY_MS)
    }

    /// Moves the latency towards a new value; a higher one counts at once.
    fn observe_latency(&mut self, latency: Duration, now: Tick) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let idle = now.since(self.latency_at).as_secs_f64();
        let kept = (-(idle + 0.05) / LATENCY_WINDOW.as_secs_f64()).exp();
        self.latency_at = now;
        self.latency_ms = if latency_ms > self.latency_ms {
            latency_ms
        } else {
            latency_ms + kept * (self.latency_ms - latency_ms)
        };
    }

    fn count_failure(&mut self, now: Tick) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return;
        }
        let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + length.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }
}

/// What one node knows of the backend servers that it calls.
#[derive(Debug, Default)]
pub struct Balancer {
    tracked: HashMap<InstanceName, Tracked>,
    started: Option<Tick>,
}

impl Balancer {
    /// Chooses one of `candidates`, leaving out those whose index is in `tried`.
    ///
    /// The choice counts as a request in flight until [`Balancer::end`].
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        tried: &[usize],
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        self.track(candidates, now);
        let usable = self.usable(candidates, tried, now);
        let local: Vec<usize> =
            usable.iter().copied().filter(|&i| candidates[i].is_local).collect();
        let near = self.cheaper_of_two(candidates, &local, now, rng);
        let chosen = match near {
            Some(i) if self.busy_share(&candidates[i], now) < ZONE_PREFERENCE_LIMIT => Some(i),
            _ => {
                let any = self.cheaper_of_two(candidates, &usable, now, rng);
                self.cheaper(candidates, near, any, now)
            }
        }?;
        if let Some(tracked) = self.tracked.get_mut(&candidates[chosen].instance) {
            tracked.in_flight += 1;
        }
        Some(chosen)
    }

    /// Records the end of a call.
    pub fn end(&mut self, instance: &InstanceName, end: CallEnd, latency: Duration, now: Tick) {
        let Some(tracked) = self.tracked.get_mut(instance) else { return };
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        match end {
            CallEnd::Answered => {
                tracked.failures = 0;
                tracked.ejections = tracked.ejections.saturating_sub(1);
                tracked.observe_latency(latency, now);
            }
            CallEnd::Failed => tracked.count_failure(now),
            CallEnd::Shed | CallEnd::Cancelled => {}
        }
    }

    /// Takes in the load that rode on a reply.
    pub fn hint(&mut self, instance: &InstanceName, in_flight: u32, now: Tick) {
        if let Some(tracked) = self.tracked.get_mut(instance) {
            tracked.hint = Some(Hint { in_flight, at: now });
        }
    }

    /// Returns this node's requests in flight at an instance.
    pub fn in_flight(&self, instance: &InstanceName) -> u32 {
        self.tracked.get(instance).map_or(0, |tracked| tracked.in_flight)
    }

    /// Takes note of candidates; a new incarnation starts slowly again.
    ///
    /// Those that are known when the node itself starts count as warm, because
    /// the whole group would be cold otherwise.
    fn track(&mut self, candidates: &[Candidate], now: Tick) {
        let warm_until = *self.started.get_or_insert(now) + Duration::from_millis(100);
        for candidate in candidates {
            let first_seen = if now <= warm_until { Tick(0) } else { now };
            let tracked = self
                .tracked
                .entry(candidate.instance.clone())
                .or_insert_with(|| Tracked::new(candidate.incarnation, first_seen, now));
            if tracked.incarnation != candidate.incarnation {
                let in_flight = tracked.in_flight;
                *tracked = Tracked::new(candidate.incarnation, now, now);
                tracked.in_flight = in_flight;
            }
            tracked.last_seen = now;
        }
        if self.tracked.len() > 2 * candidates.len() + 64 {
            self.tracked.retain(|_, t| t.in_flight > 0 || now.since(t.last_seen) < FORGET_AFTER);
        }
    }

    /// Returns the candidates that are neither tried nor suspect nor ejected.
    ///
    /// When too many are ejected the ejections are ignored: a group that fails
    /// as a whole isn't helped by sending everything to what is left of it.
    fn usable(&self, candidates: &[Candidate], tried: &[usize], now: Tick) -> Vec<usize> {
        let all: Vec<usize> = (0..candidates.len()).filter(|i| !tried.contains(i)).collect();
        let alive: Vec<usize> = all.iter().copied().filter(|&i| !candidates[i].suspect).collect();
        let alive = if alive.is_empty() { all } else { alive };
        let is_ejected = |i: &usize| {
            let tracked = self.tracked.get(&candidates[*i].instance);
            tracked.is_some_and(|t| t.is_ejected(now))
        };
        let ejected = (0..candidates.len()).filter(is_ejected).count();
        let kept: Vec<usize> = alive.iter().copied().filter(|i| !is_ejected(i)).collect();
        if kept.is_empty() || ejected as f64 > EJECTED_SHARE * candidates.len() as f64 {
            return alive;
        }
        kept
    }

    fn cheaper_of_two(
        &self,
        candidates: &[Candidate],
        among: &[usize],
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let first = self.draw(candidates, among, now, rng);
        let others: Vec<usize> = among.iter().copied().filter(|i| Some(*i) != first).collect();
        let second = self.draw(candidates, &others, now, rng);
        self.cheaper(candidates, first, second, now)
    }

    /// Draws one candidate with the probability of its weight.
    fn draw(
        &self,
        candidates: &[Candidate],
        among: &[usize],
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let weight =
            |i: &usize| self.tracked.get(&candidates[*i].instance).map_or(1.0, |t| t.weight(now));
        let total: f64 = among.iter().map(weight).sum();
        let mut left = rng.random_range(0.0..1.0) * total;
        for i in among {
            left -= weight(i);
            if left < 0.0 {
                return Some(*i);
            }
        }
        among.last().copied()
    }

    fn cheaper(
        &self,
        candidates: &[Candidate],
        a: Option<usize>,
        b: Option<usize>,
        now: Tick,
    ) -> Option<usize> {
        let (Some(i), Some(j)) = (a, b) else { return a.or(b) };
        let (cost_i, cost_j) = (self.cost(&candidates[i], now), self.cost(&candidates[j], now));
        Some(if cost_j < cost_i { j } else { i })
    }

    /// Returns the expected wait: latency times the requests that share a slot.
    fn cost(&self, candidate: &Candidate, now: Tick) -> f64 {
        let Some(tracked) = self.tracked.get(&candidate.instance) else { return 0.0 };
        let load = f64::from(tracked.load(now) + 1) / f64::from(candidate.slots.max(1));
        tracked.expected_latency_ms(now) * load / tracked.weight(now)
    }

    fn busy_share(&self, candidate: &Candidate, now: Tick) -> f64 {
        let load = self.tracked.get(&candidate.instance).map_or(0, |t| t.load(now));
        f64::from(load) / f64::from(candidate.slots.max(1))
    }
}
