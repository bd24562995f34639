package order

import "testing"

func TestNext(t *testing.T) {
	outdated := Input{EngineUp: true, Desired: "v2", Loaded: "v1"}
	with := func(change func(*Input)) Input {
		in := outdated
		change(&in)
		return in
	}
	for _, test := range []struct {
		name string
		in   Input
		want Step
	}{
		{"has the desired weights", with(func(i *Input) { i.Loaded = "v2" }), NoStep},
		{"engine is down", with(func(i *Input) { i.EngineUp = false }), NoStep},
		{"no slot yet", outdated, AcquireSlot},
		{"requests running", with(func(i *Input) { i.SlotHeld = true }), Drain},
		{"idle with a slot", with(func(i *Input) { i.SlotHeld, i.Idle = true, true }), Load},
		{"platform down for a moment", with(func(i *Input) { i.PlatformDownFor = 1 }), AwaitTurn},
		{"platform down for long", with(func(i *Input) { i.PlatformDownFor, i.Idle = PlatformGracePeriod, true }), Load},
		{"platform down, a later rank", with(func(i *Input) { i.PlatformDownFor, i.Rank = PlatformGracePeriod, MaxConcurrentLoads }), AwaitTurn},
	} {
		if got := Next(test.in); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

func TestServingVersion(t *testing.T) {
	for _, test := range []struct {
		previous string
		have     int
		moved    bool
		want     string
	}{
		{"", 0, false, "v2"},
		{"v1", 1, false, "v1"},
		{"v1", 2, false, "v2"},
		// Runners that fail later must not send requests back to older weights.
		{"v1", 0, true, "v2"},
	} {
		if got := ServingVersion("v2", test.previous, test.have, 2, test.moved); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}
