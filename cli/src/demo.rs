//! `wingshed demo`: runs a small system in one process under a mixed load while engines leave and
//! crash.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use argh::FromArgs;
use wingshed_lib::protocol::engine::run_id;
use wingshed_lib::transport::http_client::HttpClient;
use wingshed_standin::caller::{chat_call, directory, plain_call, send, CallerAnswer, ChatRequest};
use wingshed_standin::engine::whole_text;
use wingshed_standin::system::{SystemOptions, SystemStandIn};
use wingshed_standin::verdict::{AnswerVerdict, RequestView};

use crate::table::to_text;

const REQUESTS: usize = 480;
const CALLERS: usize = 12;
const CHAT_COUNT: usize = 60;
const SERVICES: [&str; 5] = ["chat", "alert", "digest", "teaser", "plain"];

/// start a small system in this process, run a mixed load while engines leave and crash, and print
/// a table
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// keep running and print curl commands for the system instead
    #[argh(switch)]
    serve: bool,
}

/// One request and its outcome.
struct DemoResult {
    service: &'static str,
    /// The text that a complete answer has.
    expected: String,
    /// The id under which engines count the starts of the request.
    run: String,
    answer: CallerAnswer,
    /// The answer to the same request sent a second time, for run-once requests.
    duplicate: Option<CallerAnswer>,
}

impl DemoResult {
    fn view<'a>(&'a self, starts: &HashMap<String, u64>) -> RequestView<'a> {
        RequestView {
            expected: &self.expected,
            exact: self.service != "plain",
            first: &self.answer,
            second: self.duplicate.as_ref(),
            starts: starts.get(&self.run).copied().unwrap_or(0),
        }
    }
}

/// Runs the demo and returns true if every guarantee held: no answer is wrong or ends without an
/// error, and no run-once request runs twice.
pub fn run(command: &DemoCommand) -> Result<bool, String> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    println!("Starting 1 keeper, 3 routers, 6 stand-in engines, 2 plain upstreams.");
    let mut system = SystemStandIn::start(SystemOptions::small(folder.path().to_path_buf()));
    if command.serve {
        print_curl_lines(&system);
        loop {
            std::thread::sleep(Duration::from_secs(3600));
        }
    }
    let started = Instant::now();
    let wire_before = control_bytes(&system);
    let (results, skew) = run_load(&mut system);
    let seconds = started.elapsed().as_secs_f64();
    let wire = (control_bytes(&system) - wire_before) / seconds / system.options.routers as f64;
    Ok(report(&system, &results, &skew, wire))
}

fn print_curl_lines(system: &SystemStandIn) {
    let router = system.router_addresses()[0];
    println!("\nThe system is running. Try:\n");
    println!("curl -s 'http://{router}/v1/addresses?workspace=w0&chat=c1'");
    println!(
        "curl -sN http://{router}/v1/chat/completions -H 'authorization: Bearer k0' \
         -H 'wingshed-workspace: w0' -H 'wingshed-chat: c1' -d '{{\"stream\":true,\
         \"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!(
        "curl -s http://{router}/receipts/7 -H 'authorization: Bearer k0' \
         -H 'wingshed-workspace: w0' -H 'wingshed-service: plain'"
    );
    println!("curl -s http://{router}/status");
    println!("\nStop it with Ctrl-C.");
}

/// Sends requests from callers that look up routers in the directory, while engines leave and
/// crash. Returns the results and samples of the load skew.
fn run_load(system: &mut SystemStandIn) -> (Vec<DemoResult>, Vec<f64>) {
    let routers = system.router_addresses();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    let mut skew = Vec::new();
    std::thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|_| scope.spawn(|| run_caller(&routers, &next, &results))).collect();
        let mut step = 0;
        while callers.iter().any(|caller| !caller.is_finished()) {
            std::thread::sleep(Duration::from_millis(20));
            skew.extend(current_skew(system));
            step += 1;
            churn(system, step);
        }
    });
    (results.into_inner().unwrap_or_default(), skew)
}

/// At step 20, engine 0 reports that it is leaving; at step 40, engine 1 is killed and started
/// again at the same address as a new incarnation.
fn churn(system: &mut SystemStandIn, step: usize) {
    match step {
        20 => {
            if let Some(engine) = &system.engines[0] {
                engine.leave();
            }
        }
        40 => {
            let address = system.engines[1].as_ref().map(|engine| engine.address);
            system.kill_engine(1);
            if let Some(address) = address {
                system.restart_engine(1, address, 2);
            }
        }
        _ => {}
    }
}

fn run_caller(routers: &[SocketAddr], next: &AtomicUsize, results: &Mutex<Vec<DemoResult>>) {
    let client = HttpClient::default();
    // The router to which the next request of each chat goes, according to its last answer.
    let mut next_routers: HashMap<String, SocketAddr> = HashMap::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return;
        }
        let result = one_request(&client, routers, number, &mut next_routers);
        results.lock().unwrap_or_else(|poison| poison.into_inner()).push(result);
    }
}

fn one_request(
    client: &HttpClient,
    routers: &[SocketAddr],
    number: usize,
    next_routers: &mut HashMap<String, SocketAddr>,
) -> DemoResult {
    let service = SERVICES[number % SERVICES.len()];
    let workspace = format!("w{}", number % 3);
    let chat = format!("{workspace}-{}", (number * 7) % CHAT_COUNT);
    let returning = next_routers.contains_key(&chat);
    let address = next_routers.get(&chat).copied().or_else(|| {
        let query = format!("workspace={workspace}&service={service}");
        directory(client, routers[number % routers.len()], &query).first().copied()
    });
    let address = address.unwrap_or(routers[0]);
    let request_id = format!("r{number}");
    let run = run_id(&workspace, &request_id);
    if service == "plain" {
        let key = format!("k{}", number % 3);
        let target = format!("/lookup/{number}");
        let call = plain_call(&workspace, &key, &request_id, service, "GET", &target);
        let answer = send(client, address, &call, None);
        return DemoResult { service, expected: target, run, answer, duplicate: None };
    }
    let pieces = if service == "digest" { 64 } else { 24 };
    let request = ChatRequest {
        workspace,
        key: format!("k{}", number % 3),
        request_id,
        chat,
        service: service.to_string(),
        prompt_tokens: if service == "digest" { 2000 } else { 200 },
        max_tokens: pieces,
        stream: service != "chat",
        run_once: service == "alert",
        returning,
    };
    let call = chat_call(&request);
    let answer = send(client, address, &call, None);
    if let Some(next) = answer.next {
        next_routers.insert(request.chat.clone(), next);
    }
    // Every alert is a run-once request: sent a second time, to another router, it must not run
    // again.
    let other = routers[(number + 1) % routers.len()];
    let duplicate = (service == "alert").then(|| send(client, other, &call, None));
    let expected = whole_text(&run, pieces as u64);
    DemoResult { service, expected, run, answer, duplicate }
}

/// Returns the largest number of open runs on an engine divided by the mean, or `None` while the
/// mean is below 1.
fn current_skew(system: &SystemStandIn) -> Option<f64> {
    let open: Vec<f64> =
        system.engines.iter().flatten().map(|engine| engine.open_runs() as f64).collect();
    let mean = open.iter().sum::<f64>() / open.len().max(1) as f64;
    let most = open.iter().copied().fold(0.0, f64::max);
    (mean >= 1.0).then_some(most / mean)
}

/// Returns the bytes that all routers have sent except for requests and answers.
fn control_bytes(system: &SystemStandIn) -> f64 {
    const DATA: [&str; 3] = ["engine", "plain", "forward"];
    let routers = system.routers.iter().flatten();
    let rows = routers.flat_map(|router| router.shared().wire_rows());
    rows.filter(|row| !DATA.contains(&row.kind.as_str())).map(|row| row.sent_bytes as f64).sum()
}

/// Prints the results and returns true if every guarantee held.
fn report(system: &SystemStandIn, results: &[DemoResult], skew: &[f64], wire: f64) -> bool {
    let starts = system.starts();
    let mut rows = Vec::new();
    let verdict = |result: &DemoResult| result.view(&starts).verdict();
    let mut wrong = 0;
    let mut refused = 0;
    let mut explicit = 0;
    for service in SERVICES {
        let own: Vec<AnswerVerdict> =
            results.iter().filter(|r| r.service == service).map(verdict).collect();
        let count = |kind| own.iter().filter(|verdict| **verdict == kind).count();
        let whole = count(AnswerVerdict::Whole);
        let not_run = count(AnswerVerdict::Refused);
        let failed = count(AnswerVerdict::Failed);
        wrong += count(AnswerVerdict::Wrong);
        refused += not_run;
        explicit += failed;
        rows.push(vec![
            service.to_string(),
            own.len().to_string(),
            whole.to_string(),
            not_run.to_string(),
            failed.to_string(),
        ]);
    }
    println!(
        "{}\n",
        to_text(&["service", "sent", "whole", "refused as not run", "explicit error"], &rows)
    );
    let alerts: Vec<&DemoResult> = results.iter().filter(|r| r.service == "alert").collect();
    let doubled = alerts.iter().filter(|r| starts.get(&r.run).is_some_and(|n| *n > 1)).count();
    let duplicates = alerts.iter().filter_map(|result| result.duplicate.as_ref());
    let dropped = duplicates.filter(|answer| answer.status == 409).count();
    let second_whole = |r: &&&DemoResult| r.duplicate.as_ref().is_some_and(|answer| answer.whole);
    let taken_again = alerts.iter().filter(second_whole).count();
    let counters = counters(system);
    let count = |name: &str| counters.get(name).copied().unwrap_or(0);
    let (reused, cold) = (count("cache.reused"), count("cache.cold"));
    let hopped = results.iter().filter(|result| result.answer.hops > 0).count();
    let mut sorted = skew.to_vec();
    sorted.sort_by(f64::total_cmp);
    let p50 = sorted.get(sorted.len() / 2).copied().unwrap_or(0.0);
    let summary = [
        (
            "answers whole",
            format!("{} of {}", results.len() - wrong - refused - explicit, results.len()),
        ),
        ("refused as not run", refused.to_string()),
        ("ended in an explicit error (their engine died)", explicit.to_string()),
        ("wrong, or cut without an error", wrong.to_string()),
        ("requests that found their prefix cached", format!("{reused} of {}", reused + cold)),
        ("skew, largest over mean (p50)", format!("{p50:.2}")),
        ("control bytes sent per second and router", format!("{wire:.0}")),
        ("requests forwarded between routers", hopped.to_string()),
        ("run-once duplicates sent, dropped", format!("{}, {dropped}", alerts.len())),
        ("run-once requests sent again after a refusal, and taken", taken_again.to_string()),
        ("run-once requests that ran twice", doubled.to_string()),
    ];
    let rows: Vec<Vec<String>> =
        summary.iter().map(|(name, value)| vec![name.to_string(), value.clone()]).collect();
    println!("{}", to_text(&["measure", "value"], &rows));
    let is_wrong = |r: &&DemoResult| verdict(r) == AnswerVerdict::Wrong;
    for result in results.iter().filter(is_wrong).take(5) {
        println!("wrong: {} {:?}", result.service, result.answer);
    }
    let second_invalid =
        alerts.iter().filter(|result| !result.view(&starts).second_is_valid()).count();
    let all_held = wrong == 0 && doubled == 0 && second_invalid == 0;
    println!("\n{}", if all_held { "All guarantees held." } else { "A guarantee was violated." });
    all_held
}

/// Returns the counters of all routers, summed by name.
fn counters(system: &SystemStandIn) -> HashMap<String, u64> {
    let mut sums = HashMap::new();
    for router in system.routers.iter().flatten() {
        for (name, count) in router.shared().metrics.counters() {
            *sums.entry(name).or_default() += count;
        }
    }
    sums
}
