"""Starts the fake backends and the daemons for each scenario, runs
wasabihook-bench against them, stops them by process id and prints the report."""

import argparse
import itertools
import json
import pathlib
import shutil
import socket
import subprocess
import sys
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
INSTANCES = 6
STOP_SECONDS = 20
CRASH_MARKER = "crash-this-server"


# Below the kernel's ephemeral ports (from 32768): a free port in that range
# could be taken by an outgoing connection before the daemon listens on it.
NEXT_PORT = itertools.count(21000)


def free_addresses(count):
    """Returns loopback addresses with ports that are free during the call."""
    addresses = []
    for port in NEXT_PORT:
        if len(addresses) == count:
            return addresses
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        addresses.append("127.0.0.1:%d" % port)


class Processes:
    """Processes of one run; all are stopped by process id, also on errors."""

    def __init__(self, directory):
        self.directory = directory
        self.started = []

    def start(self, name, command, stdout=None):
        log = open(self.directory / (name + ".log"), "w")
        process = subprocess.Popen(
            [str(part) for part in command],
            stdout=stdout or log, stderr=log, text=True)
        self.started.append((name, process))
        return process

    def ids(self):
        return [process.pid for _, process in self.started]

    def ended(self):
        """Processes that exited on their own, with their exit codes."""
        return ["%s (code %d)" % (name, process.returncode)
                for name, process in self.started
                if process.poll() is not None]

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for _, process in reversed(self.started):
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + STOP_SECONDS
        for name, process in self.started:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                print("%s did not stop, killed" % name, file=sys.stderr)
                process.kill()
                process.wait()


def start_file(path, number, centre, addresses, platform, seeds):
    caller, peer, admin = addresses
    path.write_text("\n".join([
        "[instance]", 'id = "bench-%d"' % number,
        'data_centre = "%s"' % centre,
        "[listen]", 'caller = "%s"' % caller, 'peer = "%s"' % peer,
        'admin = "%s"' % admin,
        "[platform]", 'address = "%s"' % platform,
        "[peers]", "seeds = %s" % json.dumps(seeds),
        "[drain]", "notice_ms = 0", "limit_ms = 5000",
        "[log]", 'level = "warning"', ""]))


def run_one(args, scenario_file, settings_file, results):
    """Runs one scenario with one settings file. Returns True on success."""
    binaries = ROOT / args.build
    scenario = tomllib.loads(scenario_file.read_text())
    topology = ROOT / "bench/topology" / (scenario["deployment"] + ".toml")
    centres = tomllib.loads(topology.read_text())["data_centres"]
    name = scenario["name"] + "." + settings_file.stem
    directory = results / "logs" / name
    directory.mkdir(parents=True, exist_ok=True)
    common = ["--seed", args.seed, "--service-ms", args.service_ms,
              "--service-sigma", args.service_sigma,
              "--records-per-group", args.records_per_group,
              "--crash-marker", CRASH_MARKER]
    with Processes(directory) as processes:
        platform = free_addresses(1)[0]
        processes.start("platform", [binaries / "wasabihook-fake-platform",
                                     "--listen", platform])
        backends = processes.start(
            "backends", [binaries / "wasabihook-fake-backends",
                         "--topology", topology, "--threads", 2,
                         "--crash-return-ms", 600000,
                         "--keep-runs", 1000000] + common,
            stdout=subprocess.PIPE)
        ready = json.loads(backends.stdout.readline())
        addresses = [free_addresses(3) for _ in range(INSTANCES)]
        for i in range(INSTANCES):
            config = directory / ("daemon-%d.toml" % i)
            seeds = [a[1] for j, a in enumerate(addresses) if j != i]
            start_file(config, i, centres[i % len(centres)], addresses[i],
                       platform, seeds)
            processes.start("daemon-%d" % i,
                            [binaries / "wasabihookd", "--config", config])
        command = [binaries / "wasabihook-bench", "run",
                   "--scenario", scenario_file, "--settings", settings_file,
                   "--topology", topology, "--results", results,
                   "--instances", ",".join(a[0] for a in addresses),
                   "--platform", platform, "--backends", ready["control"],
                   "--processes", ",".join(map(str, processes.ids())),
                   "--length-factor", args.length_factor] + common
        code = subprocess.run([str(part) for part in command]).returncode
        ended = processes.ended()
        if ended:
            print("ended during the run: " + ", ".join(ended),
                  file=sys.stderr)
        keep_metrics(directory, addresses, ready["control"])
        return code == 0 and not ended


def keep_metrics(directory, addresses, control):
    """Saves the counters of the daemons and the fake backends with the logs."""
    pages = {"daemon-%d.metrics" % i: "http://%s/metrics" % a[0]
             for i, a in enumerate(addresses)}
    pages["backends.stats.json"] = "http://%s/stats" % control
    for name, url in pages.items():
        try:
            with urllib.request.urlopen(url, timeout=5) as response:
                (directory / name).write_bytes(response.read())
        except OSError as error:
            print("%s: %s" % (url, error), file=sys.stderr)


def parse_args():
    parser = argparse.ArgumentParser(prog="bench.sh", description=__doc__)
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--scenario", action="append", default=[],
                        help="run only this scenario; may be repeated")
    parser.add_argument("--settings", default="product,baseline",
                        help="names of bench/settings/*.toml, comma-separated")
    parser.add_argument("--list", action="store_true",
                        help="list the scenarios")
    parser.add_argument("--quick", action="store_true",
                        help="a third of the length; bounds on later times "
                             "are then not meaningful")
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--service-ms", type=float, default=8)
    parser.add_argument("--service-sigma", type=float, default=0.6)
    parser.add_argument("--records-per-group", type=int, default=200)
    parser.add_argument("--length-factor", type=float, default=1)
    parser.add_argument("--results", default=None,
                        help="directory of results; BUILD/bench by default")
    args = parser.parse_args()
    if args.quick:
        args.length_factor = 0.3
    return args


def main():
    args = parse_args()
    directory = ROOT / "bench/scenarios"
    bench = ROOT / args.build / "wasabihook-bench"
    if args.list:
        return subprocess.run([bench, "list", "--scenarios",
                               directory]).returncode
    files = sorted(directory.glob("*.toml"))
    if args.scenario:
        files = [file for file in files
                 if file.stem.split("-", 1)[1] in args.scenario]
        if len(files) != len(set(args.scenario)):
            print("bench.sh: unknown scenario; see --list", file=sys.stderr)
            return 2
    results = pathlib.Path(args.results or ROOT / args.build / "bench")
    results = results.resolve()
    shutil.rmtree(results, ignore_errors=True)
    results.mkdir(parents=True)
    failed = []
    for file in files:
        for settings in args.settings.split(","):
            print("running %s with %s" % (file.stem, settings), flush=True)
            settings_file = ROOT / "bench/settings" / (settings + ".toml")
            if not run_one(args, file, settings_file, results):
                failed.append("%s with %s" % (file.stem, settings))
    subprocess.run([bench, "report", "--results", results], check=True)
    print("seed %d; results in %s" % (args.seed, results))
    for name in failed:
        print("failed: " + name, file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
