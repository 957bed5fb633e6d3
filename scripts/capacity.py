#!/usr/bin/env python3
"""Computes docs/CAPACITY.md from measured costs.

capacity.py slopes BENCHMARK_JSON SLOPES_JSON
    Reduces the output of capacity_benchmark to costs per item.
capacity.py page SLOPES_JSON TEMPLATE PAGE
    Fills the template. A figure without a measured cost becomes "not measured".
"""

import json
import math
import random
import string
import sys

NOT_MEASURED = "not measured"

# Target size from docs/design.md.
TARGET = {
    "daemons": 2700, "servers": 20000, "data_centres": 6, "regions": 3,
    "queries": 460000, "fan_out": 470, "slots": 2, "connections": 25,
    "objective_ms": 82, "quantile": 0.99, "changes_day": 13000,
    "burst": 10, "control_core": 0.042, "control_memory": 256e6,
    "control_bytes": 23e3, "platform_reads": 2000, "value_bytes": 1e6,
    "failures_day": 28, "replacements_day": 1300,
}
# Assumptions that the target does not specify.
ASSUMED = {
    "teams": 40, "platform_writes": 300, "batch_ms": 5, "service_ms": 1,
    "hedge_share": 0.05,
}
# From include/wasabihook/config.h.
CONFIG = {
    "digest_s": 0.5, "exchanges": 2, "news_fanout": 3, "news_s": 0.02,
    "full_list_period": 8, "watchers": 2, "watch_s": 2, "watch_gap_s": 0.2,
    "list_s": 1, "list_bytes_s": 8192, "listed_bytes": 128,
    "announcements": 100, "collect_s": 60, "retained_buckets": 360,
}
SECONDS_PER_DAY = 86400
SEED = 20261204


def load_benchmarks(path):
    """Returns the context and each benchmark's repetition with the least CPU
    time, because other load on the machine can only increase the CPU time.
    """
    with open(path, encoding="utf-8") as file:
        report = json.load(file)
    failed = [b["name"] for b in report["benchmarks"] if b.get("error_occurred")]
    if failed:
        sys.exit("benchmarks failed: " + ", ".join(failed))
    fastest = {}
    for run in report["benchmarks"]:
        if run.get("run_type") == "iteration":
            best = fastest.get(run["name"])
            if best is None or run["cpu_time"] < best["cpu_time"]:
                fastest[run["name"]] = run
    return report["context"], fastest


def slope(benchmarks, name, small, large, field):
    """Returns the cost per item and the fixed cost, from two sizes."""
    low = benchmarks[f"{name}/{small}"][field]
    high = benchmarks[f"{name}/{large}"][field]
    per_item = (high - low) / (large - small)
    return per_item, max(low - small * per_item, 0)


def reduce_slopes(context, benchmarks):
    def cost(name, field="cpu_time"):
        return benchmarks[name][field]

    s = {}
    s["subquery_ns"], s["query_ns"] = slope(
        benchmarks, "BmSearch", 10, 470, "cpu_time")
    s["server_choice_ns"] = cost("BmServerTable/20000")
    s["server_memory"] = cost("BmServerTable/20000", "bytes_memory")
    s["encode_ns"] = cost("BmBackendEncode")
    s["encode_bytes"] = cost("BmBackendEncode", "bytes_wire")
    s["decode_ns"] = cost("BmBackendDecode")
    s["decode_bytes"] = cost("BmBackendDecode", "bytes_wire")
    for field, name in (("cpu_time", "ns"), ("bytes_wire", "bytes"),
                        ("bytes_memory", "memory")):
        per_item, fixed = slope(benchmarks, "BmSettingsOffer", 100, 1000, field)
        s[f"setting_server_{name}"], s[f"setting_fixed_{name}"] = per_item, fixed
    s["digest_ns"] = cost("BmDigestRequest")
    s["digest_bytes"] = cost("BmDigestRequest", "bytes_wire")
    s["digest_reply_ns"] = cost("BmDigestResponse/0")
    s["digest_reply_bytes"] = cost("BmDigestResponse/0", "bytes_wire")
    s["subtree_bytes"], _ = slope(
        benchmarks, "BmDigestResponse", 0, 100, "bytes_wire")
    s["claim_ns"] = cost("BmClaim")
    s["claim_bytes"] = cost("BmClaim", "bytes_wire")
    s["claim_writes"] = cost("BmClaim", "writes")
    s["burn_record_ns"] = cost("BmBurnRecord")
    s["burn_team_bytes"], s["burn_reply_bytes"] = slope(
        benchmarks, "BmBurnResponse", 1, 10, "bytes_wire")
    s["burn_team_ns"], _ = slope(benchmarks, "BmBurnResponse", 1, 10, "cpu_time")
    s["burn_team_memory"], _ = slope(
        benchmarks, "BmBurnResponse", 1, 10, "bytes_memory")
    s["burn_fold_team_ns"] = cost("BmBurnFold") / 10
    one = cost("BmBurnLedgerEncode/1/1", "bytes_wire")
    s["ledger_team_bytes"] = (
        cost("BmBurnLedgerEncode/3/1", "bytes_wire") - one) / 2
    s["watermark_bytes"] = (
        cost("BmBurnLedgerEncode/1/451", "bytes_wire") - one) / 450
    s["ledger_byte_ns"] = cost("BmBurnLedgerEncode/3/1") / cost(
        "BmBurnLedgerEncode/3/1", "bytes_wire")
    s["rendezvous_ns"] = cost("BmRendezvous/450") / 450
    return {
        "command": "make capacity",
        "date": context["date"],
        "cpus": context["num_cpus"],
        "mhz": context["mhz_per_cpu"],
        "load_average": context.get("load_avg", []),
        "slopes": {name: round(value, 4) for name, value in s.items()},
    }


def spread_one(rng, with_news):
    """Simulates the seconds until all instances of a data centre know a change."""
    size = TARGET["daemons"] // TARGET["data_centres"]
    steps = round(CONFIG["digest_s"] / CONFIG["news_s"])
    phases = [[] for _ in range(steps)]
    for i in range(size):
        phases[rng.randrange(steps)].append(i)
    known = set(range(CONFIG["watchers"]))
    fresh = list(known)
    step = 0
    while len(known) < size:
        learned = []
        if with_news:
            # One of the notified peers is in another data centre.
            for _ in fresh:
                learned += [rng.randrange(size)
                            for _ in range(CONFIG["news_fanout"] - 1)]
        for i in phases[step % steps]:
            j = rng.randrange(size)
            if (i in known) != (j in known):
                learned += [i, j]
        fresh = list(set(learned) - known)
        known.update(fresh)
        step += 1
    return step * CONFIG["news_s"]


def spread_seconds(with_news, runs=200):
    """Returns the median and 99th percentile of the slowest data centre's time."""
    rng = random.Random(SEED)
    results = sorted(
        max(spread_one(rng, with_news) for _ in range(TARGET["data_centres"]))
        for _ in range(runs))
    return results[runs // 2], results[int(runs * 0.99)]


def number(value, unit=""):
    if value is None:
        return NOT_MEASURED
    if value == 0:
        text = "0"
    elif abs(value) >= 1000:
        text = f"{value:,.0f}"
    else:
        digits = max(0, 2 - int(math.floor(math.log10(abs(value)))))
        text = f"{value:.{min(digits, 4)}f}"
        if "." in text:
            text = text.rstrip("0").rstrip(".")
    return f"{text} {unit}".strip()


def load_figures():
    t, a = TARGET, ASSUMED
    f = {}
    f["subqueries"] = t["queries"] * t["fan_out"]
    f["per_server"] = f["subqueries"] / t["servers"]
    f["per_daemon"] = f["subqueries"] / t["daemons"]
    f["queries_daemon"] = t["queries"] / t["daemons"]
    f["slot_us"] = t["slots"] / f["per_server"] * 1e6
    f["alone"] = t["slots"] / (a["service_ms"] / 1000)
    f["alone_short"] = f["per_server"] / f["alone"]
    f["batch"] = f["per_server"] * a["batch_ms"] / 1000
    f["batches"] = 1000 / a["batch_ms"]
    f["connection_rate"] = f["per_server"] / t["connections"]
    f["connection_batches"] = f["batches"] / t["connections"]
    f["servers_by_quota"] = t["servers"] * t["connections"] / t["daemons"]
    f["lost_dc_server"] = f["per_server"] * 6 / 5
    f["lost_dc_daemon"] = f["per_daemon"] * 6 / 5
    return f


def two_level_figures(f):
    t = TARGET
    f["dc_daemons"] = t["daemons"] / t["data_centres"]
    f["dc_servers"] = t["servers"] / t["data_centres"]
    f["owned"] = f["dc_servers"] / f["dc_daemons"]
    f["dc_replicas"] = f["dc_servers"] / t["fan_out"]
    n = f["dc_daemons"]
    f["touched_each"] = n * (1 - (1 - 1 / n) ** t["fan_out"])
    f["rows"] = math.floor(f["dc_replicas"])
    f["touched_rows"] = n / f["rows"]
    f["groups_per_owner"] = t["fan_out"] / f["touched_rows"]
    f["messages_each"] = f["queries_daemon"] * f["touched_each"]
    f["messages_rows"] = f["queries_daemon"] * f["touched_rows"]
    f["daemon_connections"] = (
        2 * (n - 1) + f["owned"] * t["connections"])
    f["lost_share"] = f["groups_per_owner"] / t["fan_out"] * 100
    f["lost_coverage"] = 100 - f["lost_share"]
    f["lost_queries"] = 100 / f["rows"]
    f["lost_each_groups"] = t["fan_out"] / n
    f["lost_each_queries"] = f["touched_each"] / n * 100
    events = t["failures_day"] + t["replacements_day"]
    f["event_s"] = SECONDS_PER_DAY / events
    f["event_dc_s"] = f["event_s"] * t["data_centres"]


def tail_figures(f):
    t = TARGET
    f["server_quantile"] = t["quantile"] ** (1 / t["fan_out"]) * 100
    late = 1 - t["quantile"] ** (1 / t["fan_out"])
    f["late_one_in"] = 1 / late
    f["hedged_late"] = math.sqrt(late) * 100
    f["hedged_quantile"] = 100 - f["hedged_late"]
    f["second_late"] = late / ASSUMED["hedge_share"] * 100
    f["hedge_load"] = f["per_server"] * ASSUMED["hedge_share"]
    f["owner_quantile"] = t["quantile"] ** (1 / f["touched_rows"]) * 100


def data_path_figures(f, s):
    calls = f["per_daemon"]
    f["logic_cores"] = (f["queries_daemon"] * s["query_ns"]
                        + calls * s["subquery_ns"]) / 1e9
    f["codec_cores"] = calls * (s["encode_ns"] + s["decode_ns"]) / 1e9
    f["data_bytes"] = calls * (s["encode_bytes"] + s["decode_bytes"]) / 1e6
    f["data_gbit"] = f["data_bytes"] * 8 / 1000
    f["hop_cores"] = 2 * f["messages_rows"] * (
        s["encode_ns"] + s["decode_ns"]) / 1e9
    f["hop_saved_cores"] = f["codec_cores"] - (
        f["owned"] * f["batches"] * (s["encode_ns"] + s["decode_ns"]) / 1e9)
    f["table_all"] = TARGET["servers"] * s["server_memory"] / 1e6
    f["table_owned"] = f["owned"] * s["server_memory"] / 1e6


def settings_figures(f, s):
    t, a, c = TARGET, ASSUMED, CONFIG
    team_servers = t["servers"] / a["teams"]
    f["team_servers"] = team_servers
    f["team_text"] = (s["setting_fixed_bytes"]
                      + team_servers * s["setting_server_bytes"])
    f["team_limit"] = (t["value_bytes"] - s["setting_fixed_bytes"]) / s[
        "setting_server_bytes"]
    f["offer_ms"] = (s["setting_fixed_ns"]
                     + team_servers * s["setting_server_ns"]) / 1e6
    f["changes"] = t["changes_day"] / SECONDS_PER_DAY
    f["change_bytes"] = f["changes"] * f["team_text"] / 1e3
    f["burst_bytes"] = t["burst"] * f["team_text"] / 1e3
    f["burst_core"] = t["burst"] * f["offer_ms"] / 10
    f["settings_memory"] = (t["servers"] * s["setting_server_memory"]
                            + a["teams"] * s["setting_fixed_memory"]) / 1e6
    f["exchanges_s"] = 2 * c["exchanges"] / c["digest_s"]
    f["exchange_bytes"] = s["digest_bytes"] + s["digest_reply_bytes"]
    f["digest_kb"] = f["exchanges_s"] * f["exchange_bytes"] / 1e3
    f["digest_core"] = f["exchanges_s"] * (
        s["digest_ns"] + s["digest_reply_ns"]) / 1e7
    f["differ_kb"] = (f["exchanges_s"] * a["teams"] * s["subtree_bytes"]
                      / c["full_list_period"] / 1e3)
    # Each instance sends and receives the same number of notifications of a
    # change.
    news = 2 * c["news_fanout"] * f["exchange_bytes"] / 1e3
    f["news_kb"] = f["changes"] * news
    f["news_burst"] = t["burst"] * news
    for name, with_news in (("digests", False), ("news", True)):
        f[f"{name}_median"], f[f"{name}_p99"] = spread_seconds(with_news)
    watchers = c["watchers"] * t["data_centres"]
    f["watch_calls"] = watchers / c["watch_s"]
    f["watch_burst"] = watchers / c["watch_gap_s"]
    f["watch_all_mb"] = a["teams"] * f["team_text"] / 1e6
    f["watcher_burst"] = f["watch_all_mb"] / c["watch_gap_s"] * 1e3
    f["watch_all_burst"] = f["watch_burst"] * f["watch_all_mb"]
    f["watcher_average"] = f["changes"] * f["watch_all_mb"] * 1e3
    f["list_period"] = max(
        c["list_s"], t["daemons"] * c["listed_bytes"] / c["list_bytes_s"])
    f["list_calls"] = t["daemons"] / f["list_period"]
    f["list_kb"] = t["daemons"] * c["listed_bytes"] / f["list_period"] / 1e3
    f["announce_period"] = t["daemons"] / c["announcements"]
    f["announce_share"] = c["announcements"] / a["platform_writes"] * 100


def claim_figures(f, s):
    # One more write for the removal after the retention time.
    f["operation_writes"] = s["claim_writes"] + 1
    f["operations"] = ASSUMED["platform_writes"] / f["operation_writes"]
    f["operation_share"] = f["operations"] / TARGET["queries"] * 100


def burn_figures(f, s):
    t, a, c = TARGET, ASSUMED, CONFIG
    peers = f["dc_daemons"]
    f["burn_writes"] = t["data_centres"] / c["collect_s"]
    f["burn_own_key_writes"] = t["daemons"] / c["collect_s"]
    f["burn_leave_writes"] = t["replacements_day"] / SECONDS_PER_DAY
    # Watermarks of instances replaced within the last six hours are retained.
    replaced = t["replacements_day"] / t["data_centres"] / 4
    f["burn_watermarks"] = peers + replaced
    f["burn_value"] = (a["teams"] * s["ledger_team_bytes"]
                       + f["burn_watermarks"] * s["watermark_bytes"]) / 1e6
    f["burn_teams_max"] = (
        t["value_bytes"] - f["burn_watermarks"] * s["watermark_bytes"]
    ) / s["ledger_team_bytes"]
    f["burn_reply"] = (s["burn_reply_bytes"]
                       + a["teams"] * s["burn_team_bytes"]) / 1e3
    f["burn_peer_kb"] = f["burn_reply"] / c["collect_s"]
    f["burn_aggregator_kb"] = peers * f["burn_peer_kb"]
    f["burn_aggregator_core"] = peers * a["teams"] * (
        s["burn_team_ns"] + s["burn_fold_team_ns"]) / c["collect_s"] / 1e7
    f["burn_encode_core"] = (f["burn_value"] * 1e6 * s["ledger_byte_ns"]
                             / c["collect_s"] / 1e7)
    f["burn_aggregator_total"] = (
        f["burn_aggregator_core"] + f["burn_encode_core"])
    f["burn_record_core"] = f["queries_daemon"] * s["burn_record_ns"] / 1e7
    f["burn_retained"] = (c["retained_buckets"] * a["teams"]
                          * s["burn_team_memory"]) / 1e6
    f["report_mb"] = t["data_centres"] * f["burn_value"]
    f["status_calls"] = t["daemons"]


def verdict(value, limit):
    return "fits" if value <= limit else "**breaks**"


def verdicts(f):
    t = TARGET
    f["control_core_total"] = (
        f["digest_core"] + f["burn_record_core"]
        + f["changes"] * f["offer_ms"] / 10)
    f["control_bytes_total"] = (
        f["digest_kb"] + f["change_bytes"] + f["news_kb"] + f["list_kb"]
        + f["burn_peer_kb"])
    f["framing_left"] = (t["control_bytes"] - f["control_bytes_total"] * 1e3
                         ) / f["exchanges_s"]
    f["control_memory_total"] = (
        f["settings_memory"] + f["table_all"] + f["burn_retained"])
    limits = {
        "alone_short": 1, "control_core_total": t["control_core"] * 100,
        "control_bytes_total": t["control_bytes"] / 1e3,
        "control_memory_total": t["control_memory"] / 1e6,
        "burst_bytes": t["control_bytes"] / 1e3,
        "burst_core": t["control_core"] * 100,
        "digests_p99": 5, "news_p99": 5,
        "news_burst": t["control_bytes"] / 1e3,
        "watcher_average": t["control_bytes"] / 1e3,
        "watcher_burst": t["control_bytes"] / 1e3,
        "list_calls": t["platform_reads"],
        "burn_value": t["value_bytes"] / 1e6,
        "burn_aggregator_kb": t["control_bytes"] / 1e3,
        "burn_aggregator_total": t["control_core"] * 100,
        "burn_own_key_writes": ASSUMED["platform_writes"],
        "burn_writes": ASSUMED["platform_writes"],
    }
    return {f"v_{name}": verdict(f[name], limit)
            for name, limit in limits.items()}


def make_page(report, template):
    s = report["slopes"]
    f = load_figures()
    two_level_figures(f)
    tail_figures(f)
    data_path_figures(f, s)
    settings_figures(f, s)
    claim_figures(f, s)
    burn_figures(f, s)
    texts = verdicts(f)
    texts.update({name: number(value) for name, value in f.items()})
    # Four decimals, because number() would round these to 100 %.
    for name in ("server_quantile", "owner_quantile", "hedged_quantile"):
        texts[name] = f"{f[name]:.4f}"
    texts.update({f"s_{name}": number(value) for name, value in s.items()})
    texts.update({f"a_{name}": number(value)
                  for name, value in ASSUMED.items()})
    load = ", ".join(f"{x:.0f}" for x in report["load_average"])
    texts.update({"date": report["date"], "command": report["command"],
                  "cpus": str(report["cpus"]), "mhz": str(report["mhz"]),
                  "load": load, "seed": str(SEED)})
    return string.Template(template).substitute(texts)


def main():
    command, *paths = sys.argv[1:] or [""]
    if command == "slopes" and len(paths) == 2:
        report = reduce_slopes(*load_benchmarks(paths[0]))
        with open(paths[1], "w", encoding="utf-8") as file:
            json.dump(report, file, indent=2)
            file.write("\n")
    elif command == "page" and len(paths) == 3:
        with open(paths[0], encoding="utf-8") as file:
            report = json.load(file)
        with open(paths[1], encoding="utf-8") as file:
            page = make_page(report, file.read())
        with open(paths[2], "w", encoding="utf-8") as file:
            file.write(page)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
