use super::*;
use crate::Span;

const NOW: Time = Time(60_000_000);

fn reports(fields: Vec<ReportField>) -> LoadReports {
    LoadReports::new(&Settings { report_fields: fields, ..Settings::default() })
}

#[test]
fn requests_in_flight_take_precedence_over_the_queue_length() {
    let mut reports = reports(vec![ReportField::Queue, ReportField::Other, ReportField::InFlight]);
    let mut load = ReportedLoad::default();
    reports.record(NOW, &mut load, &[9.0, 8.0, 3.0]);
    assert_eq!(load.requests(), 3.0);
    load.record_send();
    assert_eq!(load.requests(), 4.0, "requests sent since the report are added");
}

#[test]
fn a_report_without_a_finite_number_is_ignored_and_a_negative_one_counts_as_zero() {
    let mut reports = reports(vec![ReportField::InFlight]);
    for report in [&[][..], &[f64::NAN], &[f64::INFINITY]] {
        let mut load = ReportedLoad::default();
        reports.record(NOW, &mut load, report);
        assert!(!load.has_report_since(Time(0)), "{report:?}");
    }
    let mut load = ReportedLoad::default();
    reports.record(NOW, &mut load, &[-5.0]);
    assert_eq!(load.requests(), 0.0);
}

#[test]
fn an_old_report_gives_way_to_the_mean_of_all_servers() {
    let mut reports = reports(vec![ReportField::InFlight]);
    let mut load = ReportedLoad::default();
    reports.record(NOW, &mut load, &[10.0]);
    assert_eq!(load.estimated_requests(NOW, 2.0), 10.0);
    assert!((load.estimated_requests(NOW + Span::from_ms(60_000.0), 2.0) - 2.0).abs() < 1e-9);
    assert_eq!(ReportedLoad::default().estimated_requests(NOW, 2.0), 2.0);
}
