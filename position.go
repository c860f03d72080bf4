package jaywind

import "cmp"

// StorePosition is a place in the history of a store. Its zero value is before all others.
type StorePosition struct {
	Era      int64 // rises each time the store comes back from an older copy of itself; 0 if the store knows no eras
	Revision int64 // counts the changes within an era, in which a store may give out the same ones as in the era before
}

// Compare returns -1, 0 or 1, as p is before, the same as or after o.
func (p StorePosition) Compare(o StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// IsZero reports whether p is the zero value.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }
