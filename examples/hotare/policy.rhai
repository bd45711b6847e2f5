// Hotare: traces feed subsidy claims, so a trace runs at most once.
if service == "registru" {
    // Claim records: reading may be repeated, writing may not.
    return #{ fleet: "registru", run_once: method != "GET" };
}
if service == "trace" {
    return #{ fleet: "wingshed-hotare", class: "normal", run_once: true, wait_ms: 20000, expected_output: 900 };
}
if service == "dispute" {
    // Disputes return to long parcel contexts; someone is waiting for the answer.
    return #{ fleet: "wingshed-hotare", class: "live", wait_ms: 4000, expected_output: 300 };
}
if service == "filing" && prompt_tokens > 20000 {
    throw "a filing this long must be split";
}
#{ fleet: "wingshed-hotare", class: "normal", wait_ms: 8000, expected_output: 400 }
