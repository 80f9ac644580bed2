package routing

// MaxClasses is how many classes a Classes can hold.
const MaxClasses = 64

// Classes is a set of classes of call, a bit for each by its index.
type Classes uint64

// Has reports whether the class is in the set.
func (c Classes) Has(class int) bool { return c>>class&1 == 1 }
