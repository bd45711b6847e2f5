//! `wingshed demo`: a whole small system in one process, under a mixed load with churn.

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
const CHATS: usize = 60;
const SERVICES: [&str; 5] = ["chat", "alert", "digest", "teaser", "plain"];

/// start a small system in this process, put a mixed load with churn on it, and print a table
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// stay up and print curl lines that work as typed
    #[argh(switch)]
    serve: bool,
}

/// One request and what came of it.
struct DemoResult {
    service: &'static str,
    expected: String,
    run: String,
    answer: CallerAnswer,
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

/// Runs the demo; true when every promise held.
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
    let (results, skew) = put_load(&mut system);
    let seconds = started.elapsed().as_secs_f64();
    let wire = (control_bytes(&system) - wire_before) / seconds / system.options.routers as f64;
    Ok(report(&system, &results, &skew, wire))
}

fn print_curl_lines(system: &SystemStandIn) {
    let router = system.router_addresses()[0];
    println!("\nThe system is up. Try:\n");
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
    println!("\nEnd it with ctrl-c.");
}

/// Callers ask the directory, follow it, and send; meanwhile engines die and come back.
fn put_load(system: &mut SystemStandIn) -> (Vec<DemoResult>, Vec<f64>) {
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
            skew.extend(skew_now(system));
            step += 1;
            churn(system, step);
        }
    });
    (results.into_inner().unwrap_or_default(), skew)
}

/// One engine says that it leaves, and one dies and comes back as a new life.
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
    // Where each chat should go next, as named by the last reply.
    let mut kept: HashMap<String, SocketAddr> = HashMap::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return;
        }
        let result = one_request(&client, routers, number, &mut kept);
        results.lock().unwrap_or_else(|poison| poison.into_inner()).push(result);
    }
}

fn one_request(
    client: &HttpClient,
    routers: &[SocketAddr],
    number: usize,
    kept: &mut HashMap<String, SocketAddr>,
) -> DemoResult {
    let service = SERVICES[number % SERVICES.len()];
    let workspace = format!("w{}", number % 3);
    let chat = format!("{workspace}-{}", (number * 7) % CHATS);
    let returning = kept.contains_key(&chat);
    let address = kept.get(&chat).copied().or_else(|| {
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
    let ask = ChatRequest {
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
    let call = chat_call(&ask);
    let answer = send(client, address, &call, None);
    if let Some(next) = answer.next {
        kept.insert(ask.chat.clone(), next);
    }
    // Every alert is sent a second time at another router: it must not run again.
    let other = routers[(number + 1) % routers.len()];
    let duplicate = (service == "alert").then(|| send(client, other, &call, None));
    let expected = whole_text(&run, pieces as u64);
    DemoResult { service, expected, run, answer, duplicate }
}

/// The largest load over the mean, from what the routers have admitted.
fn skew_now(system: &SystemStandIn) -> Option<f64> {
    let open: Vec<f64> =
        system.engines.iter().flatten().map(|engine| engine.open_runs() as f64).collect();
    let mean = open.iter().sum::<f64>() / open.len().max(1) as f64;
    let most = open.iter().copied().fold(0.0, f64::max);
    (mean >= 1.0).then_some(most / mean)
}

fn control_bytes(system: &SystemStandIn) -> f64 {
    const DATA: [&str; 3] = ["engine", "plain", "forward"];
    let routers = system.routers.iter().flatten();
    let rows = routers.flat_map(|router| router.shared().wire_rows());
    rows.filter(|row| !DATA.contains(&row.kind.as_str())).map(|row| row.sent_bytes as f64).sum()
}

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
        ("wrong, or cut without a word", wrong.to_string()),
        ("chats that found their prefix", format!("{reused} of {}", reused + cold)),
        ("skew, largest over mean (p50)", format!("{p50:.2}")),
        ("control bytes sent a second a router", format!("{wire:.0}")),
        ("requests that hopped between routers", hopped.to_string()),
        ("run-once duplicates sent, dropped", format!("{}, {dropped}", alerts.len())),
        ("run-once requests sent again after a refusal, and taken", taken_again.to_string()),
        ("run-once requests that ran twice", doubled.to_string()),
    ];
    let rows: Vec<Vec<String>> =
        summary.iter().map(|(name, value)| vec![name.to_string(), value.clone()]).collect();
    println!("{}", to_text(&["measure", "value"], &rows));
    let bad = |r: &&DemoResult| verdict(r) == AnswerVerdict::Wrong;
    for result in results.iter().filter(bad).take(5) {
        println!("wrong: {} {:?}", result.service, result.answer);
    }
    let undropped = alerts.iter().filter(|result| !result.view(&starts).second_is_valid()).count();
    let held = wrong == 0 && doubled == 0 && undropped == 0;
    println!("\n{}", if held { "Every promise held." } else { "A promise was broken." });
    held
}

fn counters(system: &SystemStandIn) -> HashMap<String, u64> {
    let mut sums = HashMap::new();
    for router in system.routers.iter().flatten() {
        for (name, count) in router.shared().seen.counters() {
            *sums.entry(name).or_default() += count;
        }
    }
    sums
}
