//! The page of a summary, in HTML with its charts inside.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use compact_str::CompactString;

use super::plot::{self, Series};
use super::{Results, Summary};

/// Number of rows of the tables of hosts and outcomes
const MAX_ROWS: usize = 40;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:1000px}\
    table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:2px 8px;\
    text-align:right}td:first-child,th:first-child{text-align:left}pre{overflow:auto}";

/// Returns the page
pub fn render(summary: &Summary) -> Result<String, String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Decision logs</title>\
         <style>{STYLE}</style><h1>Decision logs</h1>"
    );
    let requests: u64 = summary.seconds.values().map(Results::total).sum();
    page.push_str(&format!(
        "<p>{} lines, {} of them damaged; {requests} requests of {} hosts. Hosts log all refused and \
         failed requests up to a limit and a sample of the served ones; they left out {} lines.</p>",
        summary.lines,
        summary.damaged,
        summary.hosts.len(),
        summary.left_out,
    ));
    page.push_str(&charts(summary)?);
    page.push_str(&results_table("Route", &summary.routes));
    page.push_str(&results_table("Region that served", &summary.regions));
    page.push_str(&results_table(
        "Host, most refused and failed first",
        &summary.hosts,
    ));
    page.push_str(&counts_table("Outcome", &summary.outcomes));
    page.push_str(&counts_table("Event", &summary.events));
    page.push_str(&marks(summary));
    page.push_str(&story(summary));
    page.push_str("</html>\n");
    Ok(page)
}

fn charts(summary: &Summary) -> Result<String, String> {
    let Some(start) = summary.seconds.keys().next().copied() else {
        return Ok("<p>No request was logged.</p>".to_owned());
    };
    let series = |label, value: fn(&Results) -> f64| Series {
        label,
        points: summary
            .seconds
            .iter()
            .map(|(second, results)| ((second - start) as f64, value(results)))
            .collect(),
    };
    let marks: Vec<f64> = summary
        .marks
        .iter()
        .filter(|mark| mark.event == "configuration" || mark.event == "store-lost")
        .map(|mark| mark.time.as_secs_f64() - start as f64)
        .filter(|second| *second >= 0.0)
        .collect();
    let results = [
        series("served (sample)", |results| results.served as f64),
        series("refused", |results| results.refused as f64),
        series("failed", |results| results.failed as f64),
    ];
    let times = [
        series("median", |results| {
            results.millis.value_at_quantile(0.5) as f64
        }),
        series("90 %", |results| {
            results.millis.value_at_quantile(0.9) as f64
        }),
        series("expected wait, mean", |results| {
            results.wait_millis as f64 / results.total().max(1) as f64
        }),
    ];
    let results = plot::lines("Logged requests by second", &results, &marks)?;
    let times = plot::lines("Time to the answer, ms", &times, &marks)?;
    Ok(format!(
        "{results}{times}<p>Vertical lines: a host put a configuration in force, or lost the store.</p>"
    ))
}

fn results_table(title: &str, results: &BTreeMap<CompactString, Results>) -> String {
    let mut rows: Vec<(&CompactString, &Results)> = results.iter().collect();
    rows.sort_by_key(|(_, results)| std::cmp::Reverse(results.refused + results.failed));
    let row = |(name, results): (&CompactString, &Results)| {
        format!(
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape(name),
            results.served,
            results.refused,
            results.failed,
            results.millis.value_at_quantile(0.5),
            results.millis.value_at_quantile(0.99),
            results.other_than_first_rank,
        )
    };
    let shown: String = rows.iter().take(MAX_ROWS).copied().map(row).collect();
    format!(
        "<table><tr><th>{title}<th>served (sample)<th>refused<th>failed<th>median ms<th>99 % ms\
         <th>not at the first endpoint of the object</tr>{shown}</table>{}",
        rest(rows.len())
    )
}

fn counts_table(title: &str, counts: &BTreeMap<CompactString, u64>) -> String {
    let mut rows: Vec<(&CompactString, &u64)> = counts.iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let shown: String = rows
        .iter()
        .take(MAX_ROWS)
        .map(|(name, count)| format!("<tr><td>{}<td>{count}</tr>", escape(name)))
        .collect();
    format!(
        "<table><tr><th>{title}<th>lines</tr>{shown}</table>{}",
        rest(rows.len())
    )
}

fn rest(rows: usize) -> String {
    match rows.saturating_sub(MAX_ROWS) {
        0 => String::new(),
        rest => format!("<p>{rest} more.</p>"),
    }
}

fn marks(summary: &Summary) -> String {
    let mut marks: Vec<_> = summary.marks.iter().collect();
    marks.sort_by_key(|mark| mark.time);
    let lines: String = marks
        .iter()
        .map(|mark| {
            let text = format!("{} {} {}", mark.host, mark.event, mark.fields);
            format!("{} {}\n", format_time(mark.time), escape(&text))
        })
        .collect();
    format!("<h2>Changes</h2><pre>{lines}</pre>")
}

fn story(summary: &Summary) -> String {
    if summary.story_id.is_none() {
        return String::new();
    }
    let mut lines: Vec<_> = summary.story.iter().collect();
    lines.sort_by_key(|line| line.time);
    let text: String = lines
        .iter()
        .map(|line| {
            let text = format!("{} {}", line.host, line.decision);
            format!("{} {}\n", format_time(line.time), escape(&text))
        })
        .collect();
    match lines.is_empty() {
        true => {
            "<h2>Request</h2><p>No line names its id: it was served and is not in the sample, or \
                 no host read it.</p>"
                .to_owned()
        }
        false => format!("<h2>Request</h2><pre>{text}</pre>"),
    }
}

fn format_time(time: Duration) -> String {
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + time).to_string()
}

fn escape(text: &str) -> String {
    let escaped = text.replace('&', "&amp;").replace('<', "&lt;");
    escaped.replace('>', "&gt;").replace('"', "&quot;")
}
