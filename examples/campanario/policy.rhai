// Campanario: teasers stream live, alerts go out once, digests wait but are never starved.
if service == "buzon" {
    // Opt-outs may be looked up again; a receipt is written once.
    return #{ fleet: "buzon", run_once: method != "GET" };
}
if service == "teaser" {
    return #{ fleet: "redactor", class: "live", wait_ms: 2000, expected_output: 120 };
}
if service == "digest" {
    return #{ fleet: "redactor", class: "batch", wait_ms: 120000, expected_output: 800 };
}
if service == "alert" {
    return #{ fleet: "redactor", class: "normal", run_once: true, wait_ms: 5000, expected_output: 60 };
}
#{ fleet: "redactor", class: "normal", wait_ms: 5000, expected_output: 200 }
