// Package srv finds sync pools in DNS SRV records (RFC 2782). It asks a DNS server for _service._proto.name over UDP,
// and again over TCP where the answer is truncated (the TC bit), resolves the targets from the additional section or by
// A and AAAA queries, and reports each record's lifetime (TTL).
//
// What an answer means (answer.go) and when to ask again (schedule.go) do no I/O and read no clock; resolver.go and
// watch.go do the asking.
package srv
