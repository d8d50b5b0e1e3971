# A gateway of a site with six hosts in two racks: `otterglade check examples/gateway.star`.
# Rates are in kB a second, times in seconds. Nothing here tunes a decision: these are facts and contracts.

HOSTS = 6
LINK = 30000.0
UPLINK_SHARE = 0.75
RACKS = 2

site(
    name = "example",
    gateways = 4,                       # all gateways of the site, this one included
    cells = HOSTS,
    racks = RACKS,
    ladder = [240.0, 410.0, 700.0, 1180.0, 1990.0],
    ladder_worth = [0.25, 0.47, 0.66, 0.83, 1.0],
    streams = [38],                     # a host of kind 0 runs so many sessions at most
    link_per_weight = LINK,
    rack_link = LINK * HOSTS * UPLINK_SHARE / RACKS,
    refuses_from = 1.0,                 # hosts turn set-ups away while their whole link is asked for
)

reports(names = ["streams", "x0", "x1"], note_delay = 0.5, note_interval = 2.0)

contract(
    grace = 0.25,                       # after word of a drain, nothing new there
    cold = 12.0, start_capacity = 0.4,  # how a host that has started warms up
    overload_factor = 3.0, fall = 3.0,  # and what topples it
    max_attempts = 3,
    budget_window = 5.0, budget_free = 3.0, budget_share = 0.2,
)

gateway(name = "gw-1", listen = "127.0.0.1:8080", state_dir = "state")
registry(address = "127.0.0.1:8500")
# In its place, hosts from control machines (docs/operations.md); needs tokens(...):
# distribution(machines = {"r0": "10.0.0.9:7500"}, region = "east", zone = "a")
limits(connections = 4096, drain = 10.0)
log(level = "info", form = "json")

session_class(name = "timelapse", effect = "safe", goal = 1.5, patience = 5.0)
session_class(
    name = "sign-off", effect = "unsafe", goal = 1.0, patience = 3.0, worth = 2.0,
    scale = 1.2, floor = 1, seats = 8,  # paid for at set-up, never on the lowest rung
)

[title(name = "job-%d" % n, home = n % HOSTS, holders = 3) for n in range(20)]
