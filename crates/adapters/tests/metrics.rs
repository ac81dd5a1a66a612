//! The text served on the metrics address.

use std::{net::UdpSocket, time::Duration};

use savorykeel_adapters::metrics::{Counter, Gauge, Metrics, Tag, Timer};

#[test]
fn page_sums_counters_and_buckets_latencies() {
    let metrics = Metrics::disabled().with_registry();
    let tags = [Tag { key: "service", value: "gate" }];
    for ms in [3, 40, 40, 700] {
        metrics.count(Counter::Calls, 1, &tags);
        metrics.time(Timer::CallMs, Duration::from_millis(ms), &tags);
    }
    metrics.gauge(Gauge::Entered, 7, &[]);
    metrics.gauge(Gauge::Entered, 2, &[]);
    let page = metrics.page("one");
    for line in [
        "savorykeel_calls{instance=\"one\",service=\"gate\"} 4",
        "savorykeel_entered{instance=\"one\"} 2",
        "savorykeel_call_ms_bucket{instance=\"one\",service=\"gate\",le=\"5\"} 1",
        "savorykeel_call_ms_bucket{instance=\"one\",service=\"gate\",le=\"50\"} 3",
        "savorykeel_call_ms_bucket{instance=\"one\",service=\"gate\",le=\"+Inf\"} 4",
        "savorykeel_call_ms_sum{instance=\"one\",service=\"gate\"} 783",
        "savorykeel_series_left_out{instance=\"one\"} 0",
    ] {
        assert!(page.lines().any(|l| l == line), "{line} is missing from\n{page}");
    }
}

#[test]
fn series_are_bounded_and_tag_values_escaped() {
    let metrics = Metrics::disabled().with_registry();
    for i in 0..5_000 {
        let value = format!("a\"{i}\n");
        metrics.count(Counter::Calls, 1, &[Tag { key: "route", value: &value }]);
    }
    let page = metrics.page("one");
    assert!(page.contains("savorykeel_series_left_out{instance=\"one\"} 904"));
    assert!(page.contains("route=\"a\\\"7\\n\""));
}

#[test]
fn nothing_is_recorded_unless_enabled() {
    let metrics = Metrics::disabled();
    metrics.count(Counter::Calls, 1, &[]);
    assert_eq!(metrics.page("one"), "");
}

/// Guards against a line of statsd that a name with its separators breaks apart.
#[test]
fn tag_values_hold_no_separator_of_statsd() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let metrics = Metrics::to_statsd(server.local_addr().unwrap(), "savorykeel", "one").unwrap();
    metrics.count(Counter::Calls, 1, &[Tag { key: "route", value: "kind/0|a:b,c#d" }]);
    let mut buf = [0; 512];
    // Lines pass a queue before they can be flushed.
    let mut attempts = (0..100).map(|_| {
        metrics.flush();
        server.recv(&mut buf).ok()
    });
    let received = attempts.find_map(|received| received).expect("the line arrives");
    let line = std::str::from_utf8(&buf[..received]).unwrap().trim_end();
    assert_eq!(line, "savorykeel.calls:1|c|#instance:one,route:kind/0_a_b_c_d");
}
