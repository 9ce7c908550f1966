package compiler

// String returns the kind as spelled in declarations.
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

// String returns the urgency as spelled in declarations.
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
