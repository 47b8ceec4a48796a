package dev.jackdawdale.admission

import dev.jackdawdale.model.AppliedChange
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal

/** Whether new work is accepted. */
internal sealed interface AdmissionDecision {
    /** The work is accepted once [events] are committed; they may end other waiting requests. */
    data class Admitted(val events: List<Event>) : AdmissionDecision

    data class Refused(val refusal: Refusal) : AdmissionDecision
}

/** Whether a contract changes. */
internal sealed interface ContractDecision {
    data class Changed(val event: Event.ContractChanged) : ContractDecision

    /** The same change id was applied before: this is its first answer. */
    data class AlreadyApplied(val change: AppliedChange) : ContractDecision

    data class Refused(val refusal: Refusal) : ContractDecision
}
