//! The families of good and bad versions that are simulated.

/// A family of versions; its members differ by seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Family {
    /// As good as the old version.
    Good,
    /// Good, but slow in the first seconds after an instance starts.
    GoodCold,
    /// Good; a dependency of both versions fails for a while.
    GoodDependency,
    /// Good; calls to instances in one availability zone fail more often for a while.
    GoodZone,
    /// Good; the load rises to three times its level after the move.
    GoodPeak,
    /// Good, with a few calls a minute.
    GoodLowTraffic,
    /// Fails half of its calls from the start.
    BadAtOnce,
    /// Fails one call in twenty from some hours after the move was done.
    BadAfterHours,
    /// Fails one call in five while its instances are under high load.
    BadAboveLoad,
    /// Fails one call in five on one route of twenty.
    BadOneRoute,
    /// Fails one call in five on one route of twenty from some time after the move
    /// was done.
    BadOneRouteLater,
    /// Takes 1.2 times as long.
    Slow20Percent,
    /// Takes twice as long.
    Slow2x,
    /// Takes ten times as long.
    Slow10x,
    /// Takes twice as long from half an hour after the move on.
    Slow2xLater,
    /// Fails 0.5% of its calls.
    FailHalfPercent,
    /// Fails 2% of its calls.
    Fail2Percent,
    /// Fails 20% of its calls.
    Fail20Percent,
    /// Its backend servers crash a few seconds after they start.
    CrashOnStart,
    /// Fails one call in five for ten seconds of every minute.
    Flapping,
}

impl Family {
    /// Returns whether the version should stay in use.
    pub(crate) fn is_good(self) -> bool {
        matches!(
            self,
            Family::Good
                | Family::GoodCold
                | Family::GoodDependency
                | Family::GoodZone
                | Family::GoodPeak
                | Family::GoodLowTraffic
        )
    }

    /// Returns the number of routes.
    pub(crate) fn routes(self) -> usize {
        match self {
            Family::BadOneRoute | Family::BadOneRouteLater => 20,
            _ => 5,
        }
    }

    /// Returns the fraction of calls that fail because of the version's own fault.
    pub(crate) fn failure_rate(self) -> f64 {
        match self {
            Family::BadAtOnce => 0.5,
            Family::BadAfterHours => 0.05,
            Family::FailHalfPercent => 0.005,
            Family::Fail2Percent => 0.02,
            Family::BadAboveLoad
            | Family::BadOneRoute
            | Family::BadOneRouteLater
            | Family::Fail20Percent
            | Family::Flapping => 0.2,
            _ => 0.0,
        }
    }

    /// Returns the factor by which the fault multiplies the duration of a call.
    pub(crate) fn latency_factor(self) -> f64 {
        match self {
            Family::Slow20Percent => 1.2,
            Family::Slow2x | Family::Slow2xLater => 2.0,
            Family::Slow10x => 10.0,
            _ => 1.0,
        }
    }
}
