# Computes the table of docs/CAPACITY.md from measured slopes.
# Input: lines `slope name=N unit=U value=V`.
$1 == "slope" {
  name = ""; value = ""
  for (i = 2; i <= NF; i++) {
    split($i, pair, "=")
    if (pair[1] == "name") name = pair[2]
    if (pair[1] == "value") value = pair[2]
  }
  s[name] = value
}

function row(role, what, amount, unit, limit, mechanism) {
  verdict = limit == "" ? "" : (amount <= limit ? "holds" : "BREAKS")
  printf "| %s | %s | %.4g %s | %s | %s | %s |\n", role, what, amount, unit,
    limit == "" ? "-" : limit " " unit, verdict == "" ? "-" : verdict, mechanism
}

END {
  vms = 380; runners = 2500; accounts = 30000; requests = 24000
  tokens = 4900000; changes = 6400 / 86400; keyed = 0.1
  mb = 1024 * 1024
  renewals = 1000 / 375            # per VM and second: each after a long poll of
                                   # a quarter of the lease
  http = 330                       # header bytes of a call and its response
  usage = 24 * 25                  # bytes: 8 accounts reported, 16 received

  print "| role | what | at size | limit | verdict | mechanism |"
  print "|---|---|---|---|---|---|"
  row("entry VM", "state: accounts", accounts * s["entry.account"] / mb, "MB", 64, "shared shards of accounts and tokens")
  row("entry VM", "state: endpoints", runners * s["entry.endpoint"] / mb, "MB", 64, "directory and router, all runners")
  row("entry VM", "state: all of control, with the process", (s["entry.rss_kb"] * 1024 + accounts * s["entry.account"] + runners * s["entry.endpoint"]) / mb, "MB", 64, "as above")
  row("entry VM", "messages: renewals", (renewals * (s["wire.renew_request"] + s["wire.renew_reply"] + http + usage) + changes * 200) / 1024, "KB/s", 2, "long poll, deltas, top accounts")
  row("entry VM", "messages without the accounts' use", (renewals * (s["wire.renew_request"] + s["wire.renew_reply"] + http) + changes * 200) / 1024, "KB/s", 2, "long poll, deltas")
  row("entry VM", "processor: control, idle", 100 * s["entry.idle_cpu"], "% of a core", 2.2, "long poll, ticks of 20 ms")
  row("entry VM", "processor: changes", changes * s["entry.change_us"] / 10000, "% of a core", 2.2, "patch at the cost of the patch")
  row("entry VM", "processor: requests (not control)", requests / vms * s["entry.request_us"] / 10000, "% of a core", "", "lifecycle, chain, one connection a dispatch")
  row("entry VM", "processor: tokens (not control)", tokens / vms * s["entry.token_us"] / 10000, "% of a core", "", "relay of server-sent events")
  row("entry VM", "processor: choosing a chain", requests / vms * s["entry.choose_chain"] / 10000, "% of a core", "", "samples of each range")
  row("control leader", "state: accounts and patches", (s["control.rss_kb"] * 1024 + accounts * s["control.account"]) / mb, "MB", 64, "shared shards")
  row("control leader", "state: leases and directory", (vms * s["control.vm_lease"] + runners * s["control.endpoint"]) / mb, "MB", 64, "soft state, rebuilt after an election")
  row("control leader", "state: claims, one group, 200,000 kept", 200000 * s["control.claim_open"] / mb, "MB", 64, "oldest settled forgotten")
  row("control leader", "claims kept for, one group", 200000 / (requests * keyed), "s", "", "10% of requests keyed")
  row("control leader", "processor: renewals of all VMs", 100 * vms * s["control.idle_cpu_per_vm"], "% of a core", 2.2, "one leader answers every VM")
  row("control leader", "processor: changes", changes * s["control.change_us"] / 10000, "% of a core", 2.2, "one entry a patch")
  row("control leader", "processor: claims, apply only, 2 entries each", requests * keyed * (s["control.claim_apply"] + s["control.settle_apply"]) / 10000, "% of a core", 2.2, "one group; to be sharded")
  row("control leader", "messages: a changed version to all VMs", vms * 200 / 1024, "KB", "", "deltas")
  row("control leader", "messages: a lost zone to all VMs", vms * runners / 6 * s["wire.endpoint"] / mb, "MB", "", "deltas of the directory")
  row("control leader", "stall while a snapshot is made", s["control.snapshot_save"] / 1000, "ms", 300, "whole state at once (120,000 claims)")
}
