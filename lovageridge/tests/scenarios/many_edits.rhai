// 2,300 edits, as many as in a day, one after the other at several of eight entries, while an entry is paused,
// another is killed and restarted, and the log loses responses. Each accepted edit has a higher version than
// the one before, none is applied twice, no instance returns to an older version, and the last one is in
// force everywhere within 5 s.
start_venture(#{ fencing: FENCING, entries: 8, domains: 4, workers: 4 });
let section = "model.boards-weekly";
let base = 0;
let accepted = 0;
let unconfirmed = 0;
let begun_ms = now_ms();
for at in 0..2300 {
    if at == 500 { pause_entry(7); }
    if at == 900 { resume_entry(7); }
    if at == 1200 { kill_entry(6); }
    if at == 1600 { start_entry(6); }
    if at == 1900 { log_faults(#{ lose_answers: 2 }); }
    let size = 900 + at % 50;
    let body = "service = lm-pool\nsize_mb = " + size + "\nload_ms = 90\n";
    let got = edit(at % 6, #{ team: "boards", section: section, base: base, body: body, edit_id: `day-${at}` });
    if got.status == 503 {
        unconfirmed += 1;
        got = edit((at + 1) % 6, #{ team: "boards", section: section, base: base, body: body, edit_id: `day-${at}` });
    }
    if got.status == 200 && got.version > base {
        accepted += 1;
        base = got.version;
    }
}
figure("edits_per_s", 2300000.0 / (now_ms() - begun_ms));
figure("unconfirmed", unconfirmed);
check(accepted == 2300, `each edit was accepted once, with an increasing version: ${accepted}`);
let stale = edit(0, #{ team: "boards", section: section, base: base - 1, body: "service = lm-pool\nsize_mb = 1\n", edit_id: "stale" });
check(stale.status == 409 && stale.current_version == base, `an edit based on an older version is rejected: ${stale}`);
check(wait_ready(6, 10000), "the killed entry is ready again");
let ms = wait_config(base, 5000);
figure("last_in_force_ms", ms);
check(ms >= 0, "the last edit is in force on all instances within 5 s");
for at in 0..8 {
    check(section_version(at, section) == base, `entry ${at} has the last edit`);
}
