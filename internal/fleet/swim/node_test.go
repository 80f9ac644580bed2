package swim

import "testing"

func TestNode_StartIsKnownEverywhereAtOnce(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(size.String(), func(t *testing.T) {
			fleet := newTestFleet(t, size.members, size.seed)

			fleet.run(second / 10)

			for i := range size.members {
				fleet.requireHeld(i, "alive")
			}
		})
	}
}

func TestNode_CrashIsDetectedWithinTheDetectionTime(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(size.String(), func(t *testing.T) {
			fleet := newTestFleet(t, size.members, size.seed)
			fleet.run(20 * second)
			fleet.forbidDeaths()

			fleet.nodes[1] = nil
			fleet.run(fleet.cfg.DetectionTime())
			fleet.requireHeld(1, "dead")

			fleet.start(1, 2000) // and it comes back
			fleet.run(second)
			fleet.requireHeld(1, "alive")
			if v := fleet.nodes[0].View()[1]; v.Incarnation < 2000 {
				t.Errorf("incarnation %d, want the new process's", v.Incarnation)
			}
		})
	}
}

// With nobody to request indirect probes from, a crash is still detected soon: the member that is left does not take
// it for its own bad health again and again.
func TestNode_CrashInAFleetOfTwo(t *testing.T) {
	fleet := newTestFleet(t, 2, 1)
	fleet.run(20 * second)
	fleet.nodes[1] = nil
	fleet.run(15 * second)
	fleet.requireHeld(1, "dead")
	fleet.run(120 * second)
	if h := fleet.nodes[0].Health(); h > 1 {
		t.Errorf("health score %d of a member that is left alone", h)
	}
	suspected := 0
	fleet.onChange = func(_ int, change Change, _ *Node) {
		if change.Current == Suspect {
			suspected++
		}
	}
	for restart := range uint64(8) { // at any moment of a probe of the dead one
		fleet.start(1, 2000+restart)
		fleet.run(4 * second)
		fleet.requireHeld(1, "alive")
		fleet.nodes[1] = nil
		before := suspected
		fleet.run(20*second + int64(restart)*second/8)
		suspected = before
	}
	if suspected > 0 {
		t.Errorf("one that came back was suspected %d times, for a probe of its earlier incarnation", suspected)
	}
}

// A member that comes back with a clock that was set back claims a lower incarnation than its last.
func TestNode_RestartWithTheClockSetBack(t *testing.T) {
	fleet := newTestFleet(t, 5, 1)
	fleet.run(10 * second)

	fleet.nodes[2] = nil
	fleet.run(fleet.cfg.DetectionTime())
	fleet.start(2, 500)
	fleet.run(10 * second)
	fleet.requireHeld(2, "alive")

	fleet.nodes[3] = nil // and one that restarts before anyone noticed
	fleet.start(3, 500)
	fleet.run(10 * second)
	fleet.requireHeld(3, "alive")

	view := fleet.nodes[0].View()
	if view[2].Incarnation <= 1000 || view[3].Incarnation < 1000 ||
		fleet.nodes[3].Incarnation() != view[3].Incarnation {
		t.Errorf("incarnations %d and %d, want over the old ones", view[2].Incarnation, view[3].Incarnation)
	}
}

func TestNode_PacketLossDeclaresNobodyDead(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(size.String(), func(t *testing.T) {
			fleet := newTestFleet(t, size.members, size.seed)
			fleet.run(5 * second)

			fleet.loss = 0.2
			fleet.forbidDeaths()
			fleet.run(300 * second)

			for i := range size.members {
				if got := fleet.heldStates(i); got != "alive" && got != "alive suspect" && got != "suspect" {
					t.Errorf("member %d is held %s", i, got)
				}
			}
		})
	}
}

func TestNode_OneWayPartitionDeclaresNobodyDead(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(size.String(), func(t *testing.T) {
			fleet := newTestFleet(t, size.members, size.seed)
			fleet.run(5 * second)

			fleet.forbidDeaths()
			fleet.cut = func(from, to int) bool { return from == 0 && to == 1 }
			fleet.run(120 * second)

			fleet.requireHeld(1, "alive")
			fleet.requireHeld(0, "alive")
			if fleet.nodes[0].Counts().Indirect == 0 {
				t.Error("nobody was requested to probe")
			}
		})
	}
}

func TestNode_ProcessStalls(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(size.String(), func(t *testing.T) {
			fleet := newTestFleet(t, size.members, size.seed)
			fleet.run(10 * second)
			fleet.forbidDeaths()

			stall := fleet.cfg.suspicionTimeout(size.members).shortest * 3 / 4 // shorter than any suspicion lasts
			fleet.stop(1, stall)
			fleet.run(stall + 30*second)
			fleet.requireHeld(1, "alive")

			before := fleet.nodes[1].Incarnation()
			falselyDead := 0
			fleet.onChange = func(_ int, change Change, _ *Node) {
				if change.Current == Dead && change.Member != 1 {
					falselyDead++
				}
			}
			stall = 2 * fleet.cfg.DetectionTime()
			fleet.stop(1, stall)
			fleet.run(stall)
			fleet.requireHeld(1, "dead")
			fleet.run(10 * second) // it continues, learns that it was declared dead, and refutes it
			fleet.requireHeld(1, "alive")
			stalled := fleet.nodes[1]
			if falselyDead > 0 || stalled.Incarnation() <= before || stalled.Counts().Stalls == 0 {
				t.Errorf("%d of the others declared dead, incarnation %d after %d, %d stalls",
					falselyDead, stalled.Incarnation(), before, stalled.Counts().Stalls)
			}
		})
	}
}

func TestNode_PartitionHeals(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(size.String(), func(t *testing.T) {
			fleet := newTestFleet(t, size.members, size.seed)
			fleet.run(5 * second)

			fleet.cut = func(from, to int) bool { return from%2 != to%2 }
			fleet.run(2 * fleet.cfg.DetectionTime())
			for i, m := range fleet.nodes[0].View() {
				if want := map[int]State{0: Alive, 1: Dead}[i%2]; m.State != want {
					t.Errorf("member 0 holds %d %v, want %v", i, m.State, want)
				}
			}

			fleet.cut = func(int, int) bool { return false }
			fleet.run(60 * second)
			for i := range size.members {
				fleet.requireHeld(i, "alive")
			}
		})
	}
}

func TestNode_Leave(t *testing.T) {
	fleet := newTestFleet(t, 5, 3)
	fleet.run(5 * second)
	fleet.forbidDeaths()

	fleet.nodes[4].Leave(fleet.now)
	fleet.flush(4)
	fleet.run(second / 10)
	fleet.nodes[4] = nil
	fleet.requireHeld(4, "left")
	fleet.run(60 * second)
	fleet.requireHeld(4, "left")

	fleet.start(4, 2000)
	fleet.run(second)
	fleet.requireHeld(4, "alive")
}

// A node that receives badly accuses nobody quickly: its suspicions last longer.
func TestNode_BadLocalHealthSlowsSuspicions(t *testing.T) {
	fleet := newTestFleet(t, 5, 1)
	fleet.run(5 * second)

	fleet.cut = func(_, to int) bool { return to == 0 } // member 0 receives nothing, but is heard
	fleet.run(30 * second)
	if h := fleet.nodes[0].Health(); h < maxHealthScore/2 {
		t.Errorf("health score %d of a member that receives nothing", h)
	}

	fleet.cut = func(int, int) bool { return false }
	fleet.run(120 * second)
	if h := fleet.nodes[0].Health(); h != 0 {
		t.Errorf("health score %d after two good minutes", h)
	}
	for i := range fleet.nodes {
		fleet.requireHeld(i, "alive")
	}
}
