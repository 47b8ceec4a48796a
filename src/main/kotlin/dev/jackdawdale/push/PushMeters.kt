package dev.jackdawdale.push

import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.telemetry.WorkClass
import dev.jackdawdale.telemetry.decisionTimer
import dev.jackdawdale.telemetry.waitTimer
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.composite.CompositeMeterRegistry
import java.util.concurrent.TimeUnit

/** Result of an answered advice call. */
internal enum class AdviceEnd { GIVEN, FAILED }

/** Metrics of staged jobs at the leader. */
internal class PushMeters(private val registry: MeterRegistry = CompositeMeterRegistry()) {
    private val refusedCustomers = HashSet<String>()

    @Volatile
    private var waiting: Map<WaitReason, Int> = emptyMap()
    val customers = CustomerMeters(registry)

    @Volatile
    private var held = 0
    private val starts = listOf(WorkClass.BATCH, WorkClass.GANG, WorkClass.SERVICE).associateWith {
        waitTimer(
            registry,
            "jackdawdale.wait.before.start",
            "Time from acceptance to first placement",
            "class",
            it.name.lowercase()
        )
    }
    private val calls = AdviceEnd.entries.associateWith {
        waitTimer(
            registry,
            "jackdawdale.advice.calls",
            "Time of calls for advice, by how they were answered",
            "end",
            it.name.lowercase()
        )
    }
    private val denied = listOf(Denial.NO_KEY, Denial.UNKNOWN_KEY, Denial.OTHER_CUSTOMER)
        .associateWith { reason ->
            Counter.builder("jackdawdale.calls.denied")
                .description("Calls for queues or jobs that the caller's key gives no access to")
                .tag("reason", reason.name.lowercase())
                .register(registry)
        }
    private val late = Counter.builder("jackdawdale.advice.late")
        .description("Answers to calls for advice that were given up before")
        .register(registry)
    private val passes = decisionTimer(
        registry,
        "jackdawdale.control.decision",
        "Time of the control thread for one pass",
        "decision",
        "pass"
    )

    init {
        WaitReason.entries.forEach { reason ->
            Gauge.builder("jackdawdale.steps.waiting") { waiting[reason] ?: 0 }
                .description("Steps that wait, by what they lack")
                .tag("reason", reason.name.lowercase())
                .register(registry)
        }
        Gauge.builder("jackdawdale.steps.held") { held }
            .description("Steps that are held back, as their runs only fail")
            .register(registry)
    }

    /** Number of waiting steps; empty at a replica that does not lead. */
    fun setWaitingSteps(byReason: Map<WaitReason, Int>) {
        waiting = byReason
    }

    /** Number of steps held back; 0 at a replica that does not lead. */
    fun setHeldSteps(steps: Int) {
        held = steps
    }

    /** Records that a job's first task was placed [waitMs] after the job's acceptance. */
    fun recordFirstPlacement(spec: StepSpec, waitMs: Long) {
        val workClass = when {
            spec.longRunning -> WorkClass.SERVICE
            spec.gang -> WorkClass.GANG
            else -> WorkClass.BATCH
        }
        starts.getValue(workClass).record(waitMs, TimeUnit.MILLISECONDS)
    }

    fun recordAdvice(end: AdviceEnd, tookMs: Long) =
        calls.getValue(end).record(tookMs, TimeUnit.MILLISECONDS)

    /** Counts a call that was denied for its key; others are answered as for no queue. */
    fun recordDenied(reason: Denial) {
        denied[reason]?.increment()
    }

    /** Counts an answer to an advice call that had been given up. */
    fun recordLateAdvice() = late.increment()

    /** Counts a refused job; [customer] is null for a job without an owner. */
    fun recordRefusal(reason: RefusalReason, customer: String?) {
        val isCounted = customer == null ||
            customer in refusedCustomers ||
            (refusedCustomers.size < MAX_CUSTOMERS && refusedCustomers.add(customer))
        Counter.builder("jackdawdale.jobs.refused")
            .description("Jobs that were refused and never run, by reason and customer")
            .tag("reason", reason.name.lowercase())
            .tag("customer", if (isCounted) customer.orEmpty() else "other")
            .register(registry)
            .increment()
    }

    /** Records the time of the control thread for one pass. */
    fun recordPass(nanos: Long) = passes.record(nanos, TimeUnit.NANOSECONDS)

    private companion object {
        /** Bounds the number of series; an installation has some tens of customers. */
        const val MAX_CUSTOMERS = 100
    }
}
