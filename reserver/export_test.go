package reserver

// PlacingKey exports placingKey for tests.
var PlacingKey = placingKey
