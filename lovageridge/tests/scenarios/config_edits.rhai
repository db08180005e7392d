// Concurrent edits, edits of other teams' sections, and an edit that is repeated because the log lost its
// response. Then an instance starts while the log is down, and another one after the retention has passed.
// No instance returns to an older version, and an accepted edit is in force everywhere within 5 s.
start_venture(#{ fencing: FENCING, entries: 8, domains: 4, workers: 4, retention_s: 10 });
let section = "model.boards-weekly";
let body = "service = lm-pool\nsize_mb = 900\nload_ms = 90\n";
let first = edit(0, #{ team: "boards", section: section, body: body, edit_id: "new" });
check(first.status == 200, `a team edits its own section: ${first}`);
let ms = wait_config(first.version, 5000);
figure("edit_in_force_ms", ms);
check(ms >= 0, "the edit is in force on all instances within 5 s");

let foreign = edit(0, #{ team: "boards", section: "model.model-00", base: 1, body: body, edit_id: "f" });
check(foreign.status == 403, `an edit of another team's section is refused: ${foreign}`);
let unsigned = edit(0, #{ team: "none", section: section, base: first.version, body: body, edit_id: "u" });
check(unsigned.status == 401, `an edit without a valid token is refused: ${unsigned}`);
let wrong = edit(0, #{ team: "boards", section: section, base: first.version, body: "size_mb = x\n", edit_id: "w" });
check(wrong.status == 422, `an invalid edit is refused: ${wrong}`);

let a = edit(1, #{ team: "boards", section: section, base: first.version, body: body + "replicas_max = 2\n", edit_id: "race-a" });
let b = edit(2, #{ team: "boards", section: section, base: first.version, body: body + "replicas_max = 3\n", edit_id: "race-b" });
check(a.status == 200 && b.status == 409, `one of two concurrent edits is accepted: ${a} ${b}`);
check(b.current_version == a.version, "the rejected edit is answered with the current version");

log_faults(#{ lose_answers: 1 });
let lost = edit(3, #{ team: "boards", section: section, base: a.version, body: body, edit_id: "lost" });
let again = edit(4, #{ team: "boards", section: section, base: a.version, body: body, edit_id: "lost" });
check(lost.status == 200 && again.status == 200, `an edit whose log response was lost is resolved: ${lost} ${again}`);
check(lost.version == again.version, "the repeated edit was applied once");
check(wait_config(lost.version, 5000) >= 0, "the edit is in force on all instances");

log_faults(#{ refuse: true });
kill_entry(0);
start_entry(0);
check(wait_ready(0, 8000), "an instance that starts while the log is down copies the document from a peer");
check(config_version(0) == lost.version, "the copied document is the newest version");

// After the retention has passed, checkpoints preserve the state, and a new instance has the newest version.
log_faults(#{ retention_ms: 10000 });
sleep_ms(13000);
let kept = edit(5, #{ team: "boards", section: section, base: lost.version, body: body + "replicas_max = 4\n", edit_id: "late" });
check(kept.status == 200, `edits are accepted after the retention has passed: ${kept}`);
kill_entry(1);
start_entry(1);
check(wait_ready(1, 8000), "an instance starts after the retention has passed");
check(wait_config(kept.version, 5000) >= 0, "the newest version is in force on all instances");
