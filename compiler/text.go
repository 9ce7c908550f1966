package compiler

// String gives the kind as declarations spell it.
func (k Kind) String() string {
	switch k {
	case KindModel:
		return "model"
	case KindPlain:
		return "plain"
	default:
		return "unknown"
	}
}

// String gives the urgency as declarations spell it.
func (u Urgency) String() string {
	switch u {
	case UrgencyPatient:
		return "patient"
	case UrgencyUrgent:
		return "urgent"
	default:
		return "unknown"
	}
}
