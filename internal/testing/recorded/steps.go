package recorded

import "math/rand/v2"

// WeightedStep is a kind of step of a seeded case, drawn as often as its weight says.
type WeightedStep struct {
	Weight int
	Play   func()
}

// PlayOne plays one of the steps, with one draw of random. The order of the steps is part of what is recorded.
func PlayOne(random *rand.Rand, steps []WeightedStep) {
	total := 0
	for _, step := range steps {
		total += step.Weight
	}
	drawn := random.IntN(total)
	for _, step := range steps {
		if drawn -= step.Weight; drawn < 0 {
			step.Play()
			return
		}
	}
}
