// Messages between pollenloft's own processes and records in the replicated
// log. Times are milliseconds. Regenerate with scripts/generate.
namespace cpp pollenloft.wire

struct entry { 1: i64 term, 2: i64 index, 3: i8 kind, 4: binary data }

struct snapshot {
  1: i64 index, 2: i64 term, 3: list<i32> members, 4: binary data
}

// One Raft message; `kind` is the index of the alternative in the variant of
// the replica library.
struct replica_message {
  1: i32 sender, 2: i32 receiver, 3: i64 term, 4: i8 kind,
  5: bool pre, 6: bool granted, 7: i64 last_index, 8: i64 last_term,
  9: i64 prev_index, 10: i64 prev_term, 11: i64 commit, 12: i64 leader_last,
  13: i64 round, 14: list<entry> entries, 15: bool matched, 16: i64 index,
  17: snapshot install, 18: i64 nonce, 19: bool fresh, 20: bool transfer,
  21: list<i32> members
}

struct message_batch { 1: list<replica_message> messages }

// A client account's claim of an idempotency key: the right to run one
// non-idempotent request.
struct claim_record {
  1: string account, 2: string key, 3: i64 fingerprint, 4: string holder,
  5: string dispatch, 6: i64 at_ms, 7: i8 state, 8: i32 status, 9: binary body
}

struct patch_command {
  1: i64 base, 2: string id, 3: string who, 4: string body, 5: i64 at_ms
}
struct settle_command {
  1: string account, 2: string key, 3: string dispatch, 4: i8 state,
  5: i32 status, 6: binary body, 7: i64 at_ms
}
// Settles the open claims of a VM that is gone as unknown.
struct abandon_command { 1: string holder, 2: i64 at_ms }
// A request was on another endpoint when that crashed. With `survived`, an
// endpoint ran it to the end, or the operator `who` cleared it, and what was
// recorded against it is dropped.
// With `part`, the fingerprint is that of a part of prompts. A survival of such a
// part took place `survived_ago_ms` before the report.
struct blame_command {
  1: i64 fingerprint, 2: string endpoint, 3: i64 at_ms, 4: i32 points,
  5: bool survived, 6: string account, 7: string who, 8: bool part,
  9: i64 survived_ago_ms
}
struct blame_batch { 1: list<blame_command> reports }

// Replaces the routing document if `number` is higher than the current one.
// `packed` holds the text as a frame of the delta library without a base; `text`
// is empty then. Older logs contain `text` only.
struct document_command {
  1: i64 number, 2: string text, 3: i64 at_ms, 4: binary packed
}

// An endpoint has announced that it leaves, or has left: `state` of its process
// `incarnation`, and of earlier ones. An endpoint that no control VM knows has an
// empty incarnation.
struct departure_command {
  1: string id, 2: string incarnation, 3: i8 state, 4: i64 at_ms
}

union command {
  1: patch_command patch, 2: claim_record claim, 3: settle_command settle,
  4: abandon_command abandon, 5: blame_command blame,
  6: document_command document, 7: departure_command departure
}

struct audit_record {
  1: i64 at_ms, 2: string who, 3: string what, 4: i64 base, 5: string result,
  6: i64 version
}
struct version_record { 1: i64 version, 2: string id, 3: string body }
struct patch_result { 1: string id, 2: i64 version, 3: string refusal }
// `at_ms` is the time of the last crash that counts and `first_at_ms` that of the
// first one; in renewals `age_ms` and `first_age_ms` are the times since then. A
// part is `trusted` if endpoints survived it before the first crash. The entry VM
// `trial_vm` may admit one request with it; each nomination has a number.
struct blame_record {
  1: i64 fingerprint, 2: list<string> endpoints, 3: i64 at_ms, 4: i32 points,
  5: i64 age_ms, 6: string account, 7: bool part, 8: i64 first_at_ms,
  9: i64 first_age_ms, 10: bool trusted, 11: string trial_vm, 12: i64 trial
}

struct control_snapshot {
  1: i64 version, 2: string configuration, 3: list<version_record> tail,
  4: list<patch_result> results, 5: list<audit_record> audit,
  6: list<claim_record> claims, 7: list<blame_record> blames,
  8: i64 document, 9: string document_text,
  10: list<departure_command> departures
}

// A record of the endpoint directory. Reports of one incarnation are ordered by
// `report`. `silent` is set while reports have been overdue for several periods,
// `displaced` while another endpoint reports from the same address,
// `unreachable` while the leader's probes of the runner fail. `slowdown` is the
// step time relative to the runner's kind, in percent. `fill` is the utilization
// of the runner's KV cache, in percent. Layers, load and `unreachable` are set
// by the leader; `noted`, its term and a counter, orders these updates.
// `request_limit` is the number of requests per 1,000 seconds that the endpoint
// takes from all VMs together, 0 if it has named no limit.
struct endpoint_record {
  1: string id, 2: string incarnation, 3: string address, 4: string kind,
  5: string zone, 6: string pipeline, 7: i32 first_layer, 8: i32 last_layer,
  9: i32 slots, 10: i8 state, 11: string owner, 12: i64 sequence,
  13: bool fencing, 14: i32 token_us, 15: i64 report, 16: bool silent,
  17: i32 fill, 18: bool displaced, 19: i32 slowdown,
  20: bool unreachable, 21: i64 noted, 22: i64 request_limit
}

// `cost` is the rate in tokens per second that an account used, `waiting` the
// cost of its queued requests.
struct account_usage { 1: string account, 2: double cost, 3: double waiting }

// An endpoint that wants no requests of the reporting VM. `left_ms` is negative
// once its pause is over and it has answered no trial yet.
struct paused_endpoint { 1: string endpoint, 2: i64 left_ms }

// `document` is the newest one that the VM knows of. A VM with `fetches_state`
// requests large texts in parts; to others the reply carries them whole.
// `suspects_digest` is that of the crash records that the VM holds; it receives
// those of others at once if it `tracks_suspects`. Another VM that is `cut_off`
// from all endpoints may relay requests to `relay_address` with `relay_key`.
struct renew_request {
  1: string vm, 2: string incarnation, 3: i64 in_force, 4: i64 term,
  5: i64 directory_sequence, 6: list<account_usage> usage, 7: string zone,
  8: string address, 9: bool draining, 10: bool first, 11: i64 document,
  12: bool fetches_state, 13: bool tracks_suspects, 14: i64 suspects_digest,
  15: string relay_address, 16: string relay_key, 17: bool cut_off,
  18: list<paused_endpoint> paused
}
struct renew_reply {
  1: bool granted, 2: string leader, 3: i64 lease_ms, 4: i64 term,
  5: i64 version, 6: list<version_record> patches, 7: string configuration,
  8: i64 directory_sequence, 9: bool directory_full,
  10: list<endpoint_record> endpoints, 11: i32 vm_count,
  12: list<account_usage> usage, 13: list<blame_record> blames,
  14: i64 document, 15: string document_text, 16: list<string> replicas,
  17: i64 suspects_digest
}

// What a response said of the limit of its endpoint. `per_second` is negative if
// it named none; the ages are those of its request and of its head.
struct limit_record {
  1: string endpoint, 2: string incarnation, 3: double per_second,
  4: i64 asked_ago_us, 5: i64 answered_ago_us
}
// Permits for requests to endpoints that have named a limit.
struct permit_want_record {
  1: limit_record limit, 2: i32 wanted, 3: i32 returned
}
struct permit_request { 1: string vm, 2: list<permit_want_record> wants }
struct permit_grant_record {
  1: limit_record limit, 2: i32 permits, 3: i64 retry_after_ms
}
struct permit_reply {
  1: bool accepted, 2: string leader, 3: list<permit_grant_record> grants
}

// VMs to which a VM that is cut off from endpoints may relay requests.
struct peer_record {
  1: string vm, 2: string zone, 3: string address, 4: string key
}
struct peers_request { 1: string vm, 2: bool cut_off }
struct peers_reply {
  1: bool accepted, 2: string leader, 3: list<peer_record> peers
}

// A request for the part at `offset` of the frame with `digest` of a state text;
// `base` and `base_digest` name the text that the VM holds.
struct state_request {
  1: i8 kind, 2: i64 version, 3: i64 base, 4: i64 base_digest, 5: i64 digest,
  6: i64 offset
}
// `version` is 0 if the requested one is not known here. `total` is the size of
// the frame in bytes; its text is relative to that of `base`, or whole if that
// is 0.
struct state_part {
  1: i64 version, 2: i64 base, 3: i64 digest, 4: i64 text_digest,
  5: i64 offset, 6: i64 total, 7: binary bytes
}

// Endpoints that registered at the reporting VM.
struct report_request { 1: string vm, 2: list<endpoint_record> endpoints }
struct report_reply { 1: bool accepted, 2: string leader }

struct claim_reply {
  1: i8 answer, 2: claim_record record, 3: string leader
}
struct settle_reply { 1: bool accepted, 2: string leader }

// Directory updates between control replicas: records that changed, and the
// endpoints that reported since the last message.
struct heard_endpoint { 1: string id, 2: i32 age_ms }
// A receiver whose own directory has another digest replies with its complete
// directory. `whole` is not used.
struct directory_share {
  1: list<endpoint_record> records, 2: list<heard_endpoint> heard,
  3: i32 sender, 4: i64 digest, 5: bool whole
}

// The endpoint directory as a control replica stores it on disk.
struct saved_directory { 1: i64 at_ms, 2: list<endpoint_record> records }

// A control VM that is not a member, or may be none any more, asks to become
// one. A receiver that does not lead sends it on, `forwarded`.
struct join_request { 1: i32 id, 2: bool forwarded }
// A control VM is about to stop, for a restart or for good.
struct stop_notice { 1: i32 id }

// Asks the leader to record departures in the log; accepted once they are.
struct departure_request { 1: list<departure_command> departures }
struct departure_reply { 1: bool accepted, 2: string leader }

// A part of a message between control replicas that is too large for one call.
// `path` is that of the complete message, `total` its size and `digest` its
// hash.
struct message_part {
  1: i32 sender, 2: i64 transfer, 3: string path, 4: i64 offset, 5: i64 total,
  6: i64 digest, 7: binary bytes
}
// `received` counts the bytes held from the start of the message. A transfer
// that is not known starts over, a refused one ends.
struct part_reply { 1: bool known, 2: i64 received, 3: bool refused }
