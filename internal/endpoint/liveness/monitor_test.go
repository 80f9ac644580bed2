package liveness

import (
	"fmt"
	"slices"
	"testing"
)

const millisecond = int64(1000) // µs

// step happens at a time, in ms: an endpoint reports, or what is silent is compared.
type step struct {
	at         int64
	reportedBy string   // "" compares
	want       []string // the silent endpoints
}

// reports are reports of the endpoints every interval ms, from the first ms to the last.
func reports(from, to, interval int64, uids ...string) []step {
	var steps []step
	for at := from; at <= to; at += interval {
		for _, uid := range uids {
			steps = append(steps, step{at: at, reportedBy: uid})
		}
	}
	return steps
}

func TestMonitor_Silent(t *testing.T) {
	useAll := [][]int{nil, nil}
	two := []Endpoint{{"a", 0}, {"b", 1}}
	for _, test := range []struct {
		name        string
		classGroups [][]int
		endpoints   []Endpoint
		steps       [][]step
	}{
		{"an endpoint that stops reporting is silent once a report is overdue, until it reports again", useAll, two, [][]step{
			reports(500, 5000, 500, "a", "b"), reports(5500, 5500, 500, "b"),
			{{at: 5500}, {at: 5620}, {at: 5626, want: []string{"a"}}},
			reports(6000, 6000, 500, "b"),
			{{at: 6010, want: []string{"a"}}, {at: 6020, reportedBy: "a"}, {at: 6021}},
		}},
		{"a report interval of 100 ms: sooner", useAll, two, [][]step{
			reports(100, 3000, 100, "a", "b"), reports(3100, 3200, 100, "b"),
			{{at: 3159}, {at: 3161, want: []string{"a"}}},
		}},
		{"all silent together: the fault is this controller's", useAll, two, [][]step{
			reports(500, 5000, 500, "a", "b"), {{at: 5700}, {at: 8000}},
		}},
		{"a report interval not known yet", useAll, two, [][]step{
			reports(500, 3000, 500, "b"), reports(1500, 2000, 500, "a"), reports(3500, 3500, 1, "b"), {{at: 3600}},
		}},
		{"the only endpoint of a class stays", [][]int{{0}, {0, 1}}, two, [][]step{
			reports(500, 5000, 500, "a", "b"), reports(5500, 5500, 500, "b"), {{at: 5700}},
		}},
		{"a class with another endpoint", [][]int{{1}, {0, 1}}, []Endpoint{{"a", 0}, {"b", 1}, {"c", 1}}, [][]step{
			reports(500, 5000, 500, "a", "b", "c"), reports(5500, 5500, 500, "b", "c"),
			{{at: 5700, want: []string{"a"}}},
		}},
		{"one that no longer reports but works is offered again, and judged anew once it reports", useAll, two, [][]step{
			reports(500, 5000, 500, "a", "b"), reports(5500, 10000, 500, "b"),
			{{at: 9999, want: []string{"a"}}, {at: 10001}},
			reports(10500, 11000, 500, "a", "b"), reports(11500, 12000, 500, "b"),
			{{at: 12100}},
		}},
		{"one lost report does not lengthen the report interval for long", useAll, two, [][]step{
			reports(500, 5000, 500, "a", "b"), reports(5500, 5500, 500, "b"), reports(6000, 16000, 500, "a", "b"),
			reports(16500, 16500, 500, "b"),
			{{at: 16750, want: []string{"a"}}},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			monitor := New(test.classGroups)
			monitor.UpdateEndpoints(test.endpoints)
			for i, s := range slices.Concat(test.steps...) {
				if s.reportedBy != "" {
					monitor.RecordReport(s.at*millisecond, s.reportedBy)
					continue
				}
				var got []string
				for uid := range monitor.Silent(s.at * millisecond) {
					got = append(got, uid)
				}
				if slices.Sort(got); !slices.Equal(got, s.want) {
					t.Errorf("step %d, %d ms: silent %v, want %v", i, s.at, got, s.want)
				}
			}
		})
	}
}

// newReportedMonitor returns a Monitor of the endpoints a and b, which have reported every 500 ms until 5 s.
func newReportedMonitor() *Monitor {
	monitor := New([][]int{nil})
	monitor.UpdateEndpoints([]Endpoint{{"a", 0}, {"b", 0}})
	for at := int64(500); at <= 5000; at += 500 {
		monitor.RecordReport(at*millisecond, "a")
		monitor.RecordReport(at*millisecond, "b")
	}
	return monitor
}

// Next must never be later than a change of Silent: the dispatcher's loop sleeps until then.
func TestMonitor_NextIsNeverAfterAChangeOfSilent(t *testing.T) {
	monitor := newReportedMonitor()
	now := 5001 * millisecond
	for at := now; at < 12_000*millisecond; at += 500 {
		if at%(500*millisecond) == 0 {
			monitor.RecordReport(at, "b")
			now = at
		}
		before, next := fmt.Sprint(monitor.Silent(now)), monitor.Next(now)
		if got := fmt.Sprint(monitor.Silent(at)); got != before {
			if next == 0 || next > at {
				t.Fatalf("at %d: silent went from %s to %s, Next returned %d", at, before, got, next)
			}
			now = at
		}
	}
	if monitor.Next(now) == 0 || len(monitor.Silent(now)) > 0 {
		t.Errorf("at the end: next %d, silent %v", monitor.Next(now), monitor.Silent(now))
	}
}

func TestMonitor_EndpointRemovedAndRelistedIsANewProcess(t *testing.T) {
	monitor := newReportedMonitor()
	monitor.UpdateEndpoints([]Endpoint{{"b", 0}})
	monitor.UpdateEndpoints([]Endpoint{{"a", 0}, {"b", 0}})

	monitor.RecordReport(5500*millisecond, "b")
	monitor.RecordReport(5600*millisecond, "not listed")
	if silent := monitor.Silent(5700 * millisecond); len(silent) > 0 {
		t.Errorf("silent %v: reports before the endpoint was removed count", silent)
	}
}

func TestEndpoint_StatesWithoutFurtherReports(t *testing.T) {
	monitor := newReportedMonitor()
	reported := monitor.endpoints["a"]
	for _, test := range []struct {
		at   int64 // ms
		want string
		next int64 // ms
	}{
		{5000, "on time", 5625},
		{5624, "on time", 5625},
		{5625, "overdue", 10_000},
		{9999, "overdue", 10_000},
		{10_000, "not reporting", 0},
	} {
		now := test.at * millisecond
		if got := reported.stateAt(now).String(); got != test.want {
			t.Errorf("at %d ms: %s, want %s", test.at, got, test.want)
		}
		if got := reported.nextTransition(now); got != test.next*millisecond {
			t.Errorf("at %d ms: next transition %d, want %d ms", test.at, got, test.next)
		}
	}

	reported.recordReport(11_000 * millisecond)
	if got := reported.stateAt(11_000 * millisecond).String(); got != "learning" {
		t.Errorf("after a long silence: %s, want learning", got)
	}
}
