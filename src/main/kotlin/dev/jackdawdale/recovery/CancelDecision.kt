package dev.jackdawdale.recovery

import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal

/** The decision on a request to cancel. */
internal sealed interface CancelDecision {
    /** [events] is empty when the work has ended or its cancellation was requested before. */
    data class Accepted(val events: List<Event>) : CancelDecision

    data class Refused(val refusal: Refusal) : CancelDecision
}
