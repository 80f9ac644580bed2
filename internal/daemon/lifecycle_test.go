package daemon

import (
	"testing"

	"eidertrail/internal/lifecycle"
)

// recordingQuotas keeps the last demand for each pool.
type recordingQuotas struct{ demands map[string]int }

func (q *recordingQuotas) Quota(int64, string) (units, total int) { return 0, 0 }

func (q *recordingQuotas) Demand(_ int64, pool string, units int) { q.demands[pool] = units }

// A controller that sends its clients away gives back what it borrowed of the fleet's quotas.
func TestDrainedQuotas_GiveBackWhatWasBorrowed(t *testing.T) {
	state := lifecycle.New(0, nil)
	state.Serve(1)
	source := &recordingQuotas{demands: map[string]int{}}
	quotas := drainedQuotas{QuotaSource: source, lifecycle: state}
	for now, step := range []struct {
		change func(now int64) error
		want   int
	}{
		{func(int64) error { return nil }, 7},
		{state.Drain, 0},
		{state.Resume, 7},
		{func(now int64) error { state.Stop(now, 0); return nil }, 0},
	} {
		if err := step.change(int64(now + 2)); err != nil {
			t.Fatal(err)
		}
		quotas.Demand(int64(now+2), "p", 7)
		if got := source.demands["p"]; got != step.want {
			t.Errorf("%s: demand %d, want %d", state.State(), got, step.want)
		}
	}
}
