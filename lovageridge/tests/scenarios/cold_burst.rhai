// 60 callers at 6 entries in 3 failure domains request one cold model at once: one decision, one load and
// 60 complete responses. Then an entry is stopped while streams are open: none is interrupted. The latency
// of the first token and the longest gap between tokens are printed.
start_venture(#{ fencing: FENCING });

let got = burst(#{ callers: 60, model: "model-00", tokens: 10 });
figure("first_token_p50_ms", got.first_p50_ms);
figure("first_token_p99_ms", got.first_p99_ms);
check(got.whole == 60, `all responses are complete: ${got.whole}, ${got.codes}`);
check(loads("model-00") == 1, `one load for the burst: ${loads("model-00")}`);
check(decisions("model-00") == 1, `one decision: ${decisions("model-00")}`);
check(memory_held(), "accelerator memory is not overcommitted");

let long = start_burst(#{ callers: 30, model: "model-00", tokens: 100, salt: "long" });
sleep_ms(500);
terminate_entry(0);
check(wait_exit(0, 20000), "the entry exits cleanly");
let ended = long.join();
figure("gap_max_ms", ended.gap_max_ms);
check(ended.whole == 30, `no stream was interrupted: ${ended.whole}, ${ended.codes}`);
