package reserver

// PlacingKey exports placingKey for tests.
var PlacingKey = placingKey

// Grant returns the number of a plan's grant, for tests.
func (p Plan) Grant() uint64 {
	return uint64(p.grant)
}
