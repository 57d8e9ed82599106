//! Cost of reading lists and changes of endpoints.

use std::hint::black_box;
use std::time::Instant;

use super::*;
use crate::platform::page;

/// Number of endpoints of the largest deployment
const ENDPOINTS: usize = 990;

/// Number of runs whose mean is printed
const RUNS: u32 = 200;

fn body(key: &str, count: usize) -> Vec<u8> {
    let objects = (0..count).map(|number| {
        let metadata = json!({ "name": format!("i-{number}"), "revision": 4, "finalizers": [] });
        let object = json!({ "metadata": metadata, "spec": endpoint_spec(), "status": null });
        match key {
            "events" => json!({ "removed": false, "object": object }),
            _ => object,
        }
    });
    let objects: Vec<Value> = objects.collect();
    let body = json!({ key: objects, "has_more": false, "store_revision": 9 });
    body.to_string().into_bytes()
}

/// Decodes a body as one document, as a reference
fn decode_as_one(body: &[u8]) -> Vec<Object> {
    let page: Value = serde_json::from_slice(body).expect("the body is valid");
    let items = page["items"].as_array().or(page["events"].as_array());
    let items = items.expect("there are items").iter();
    let objects = items.map(|item| {
        let item = item.get("object").unwrap_or(item);
        Object {
            name: item["metadata"]["name"].as_str().expect("a name").into(),
            revision: item["metadata"]["revision"].as_u64().unwrap_or(0),
            spec: item["spec"].clone(),
        }
    });
    objects.collect()
}

fn mean_micros<T>(mut run: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    for _ in 0..RUNS {
        black_box(run());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS)
}

#[test]
#[ignore = "measurement, to be run alone; prints figures of docs/MEASUREMENTS.md"]
fn cost_of_reading_endpoints() {
    let list = body("items", ENDPOINTS);
    let change = body("events", 1);
    let by_object = mean_micros(|| page::decode_list(&list).map(|list| list.objects));
    let as_one = mean_micros(|| decode_as_one(&list));
    println!("list of {ENDPOINTS}: {by_object:.0} us by object, {as_one:.0} us as one document");
    let by_object = mean_micros(|| page::decode_changes(&change).map(|changes| changes.events));
    let as_one = mean_micros(|| decode_as_one(&change));
    println!("one change: {by_object:.1} us by object, {as_one:.1} us as one document");
}
