package dev.jackdawdale.admission

import dev.jackdawdale.model.AppliedChange
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal

/** The decision on new work. */
internal sealed interface AdmissionDecision {
    /** The work is accepted once [events] are committed; they may shed another waiting request. */
    data class Admitted(val events: List<Event>) : AdmissionDecision

    data class Refused(val refusal: Refusal) : AdmissionDecision
}

/** The decision on a change of a contract. */
internal sealed interface ContractDecision {
    data class Changed(val event: Event.ContractChanged) : ContractDecision

    /** The change id was applied before; [change] is the original result. */
    data class AlreadyApplied(val change: AppliedChange) : ContractDecision

    data class Refused(val refusal: Refusal) : ContractDecision
}
