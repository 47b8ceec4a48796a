package dev.jackdawdale.routing

import dev.jackdawdale.estimates.RunTimeKey
import dev.jackdawdale.estimates.runTimeKey
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.RequestPlacement
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.WorkId

internal fun RoutingState.service(name: ServiceName): ServiceState =
    services[name] ?: ServiceState()

internal fun RoutingState.withService(name: ServiceName, service: ServiceState): RoutingState =
    copy(services = services.put(name, service))

internal fun RoutingState.mayRun(customerId: CustomerId): Boolean =
    (running[customerId] ?: 0) < (limits[customerId]?.maxRunning ?: 0)

private fun RoutingState.weightOf(customerId: CustomerId): Int = limits[customerId]?.weight ?: 1

internal fun RoutingState.withLimit(contract: Contract): RoutingState {
    val limit = RunLimit(contract.maxRunningRequests, contract.weight)
    return copy(limits = limits.put(contract.customerId, limit)).reordered(contract.customerId)
}

/** Brings the customer into or out of the order of every service, by its running limit. */
private fun RoutingState.reordered(customerId: CustomerId): RoutingState {
    val mayRun = mayRun(customerId)
    return services.entries.fold(this) { routing, (name, service) ->
        val short = service.short.ordered(customerId, mayRun)
        val long = service.long.ordered(customerId, mayRun)
        routing.withService(name, service.copy(short = short, long = long))
    }
}

private fun RoutingState.runningChanged(customerId: CustomerId, change: Int): RoutingState {
    val count = (running[customerId] ?: 0) + change
    val next = if (count > 0) running.put(customerId, count) else running.remove(customerId)
    val changed = copy(running = next)
    return if (changed.mayRun(customerId) == mayRun(customerId)) {
        changed
    } else {
        changed.reordered(customerId)
    }
}

/** Replaces a group and its head in the queue of its class. */
private fun RoutingState.withGroup(key: RunTimeKey, group: Group): RoutingState {
    val customerId = key.customerId
    val mayRun = mayRun(customerId)
    val old = groups[key]
    val oldHead = old?.head(settings)
    val newHead = group.head(settings)
    var service = service(key.service)
    if (old != null && old.size != group.size) {
        val left = service.queue(old.size).withHead(customerId, oldHead, null, mayRun)
        val joined = service.queue(group.size).withHead(customerId, null, newHead, mayRun)
        service = service.withQueue(old.size, left).withQueue(group.size, joined)
    } else if (oldHead != newHead) {
        val changed = service.queue(group.size).withHead(customerId, oldHead, newHead, mayRun)
        service = service.withQueue(group.size, changed)
    }
    val unused = group.waiting.isEmpty() && group.running == 0
    val next = if (unused) groups.remove(key) else groups.put(key, group)
    return copy(groups = next).withService(key.service, service)
}

private fun RoutingState.group(key: RunTimeKey): Group =
    groups[key] ?: Group().classified(key, runTimes, settings)

/** The class under which a request of [key] is placed now. */
internal fun RoutingState.sizeOf(key: RunTimeKey): SizeClass = group(key).size

/** Adds a run time; the group of [key] moves to another class when its estimate says so. */
internal fun RoutingState.measured(key: RunTimeKey, runTimeMs: Long): RoutingState {
    val next = copy(runTimes = runTimes.measured(key, runTimeMs))
    val group = groups[key] ?: return next
    return next.withGroup(key, group.classified(key, next.runTimes, settings))
}

/** The request waits from now on. */
internal fun RoutingState.enqueued(work: RequestWork, nowMs: Long): RoutingState {
    val key = work.waitingKey
    val standing =
        if (work.notBeforeMs > nowMs) Standing.Paused(work.notBeforeMs) else Standing.Queued
    val declaredMs = work.spec.declaredRunTimeMs
    return copy(deadlines = deadlines + Timed(work.spec.deadlineMs, key.workId))
        .placedIn(WaitingWork(work.spec.runTimeKey, key, declaredMs, standing))
        .arrived(work.spec.runTimeKey, nowMs)
}

private fun RoutingState.arrived(key: RunTimeKey, nowMs: Long): RoutingState {
    val runTimeMs = runTimes.typicalMs(key) ?: return this
    if (runTimeMs > settings.shortBoundMs) return this
    val service = service(key.service)
    val peak = service.shortPeak.arrived(runTimeMs, nowMs, settings)
    return withService(key.service, service.copy(shortPeak = peak))
}

/** The request waits no more: it is placed or has ended. */
internal fun RoutingState.dequeued(workId: WorkId): RoutingState {
    val work = waiting[workId] ?: return this
    val taken = takenOut(work)
    return taken.copy(
        waiting = taken.waiting.remove(workId),
        deadlines = taken.deadlines - Timed(work.key.deadlineMs, workId)
    )
}

/** Moves a waiting request to another standing. */
internal fun RoutingState.moved(workId: WorkId, standing: Standing): RoutingState {
    val work = waiting[workId] ?: return this
    return takenOut(work).placedIn(work.copy(standing = standing))
}

private fun RoutingState.placedIn(work: WaitingWork): RoutingState {
    val known = copy(waiting = waiting.put(work.key.workId, work))
    return when (work.standing) {
        Standing.Queued -> {
            val group = known.group(work.group)
            val joined = group.copy(
                waiting = group.waiting + work.key,
                declaredMs = work.declaredMs
            )
            known.withGroup(work.group, joined.classified(work.group, runTimes, settings))
        }
        is Standing.Paused ->
            known.copy(pauses = pauses + Timed(work.standing.untilMs, work.key.workId))
        Standing.Late -> {
            val service = known.service(work.group.service)
            known.withService(work.group.service, service.copy(late = service.late + work.key))
        }
    }
}

private fun RoutingState.takenOut(work: WaitingWork): RoutingState = when (work.standing) {
    Standing.Queued -> {
        val group = group(work.group)
        withGroup(work.group, group.copy(waiting = group.waiting - work.key))
    }
    is Standing.Paused ->
        copy(pauses = pauses - Timed(work.standing.untilMs, work.key.workId))
    Standing.Late -> {
        val service = service(work.group.service)
        withService(work.group.service, service.copy(late = service.late - work.key))
    }
}

/** The request holds a slot from now on and counts as [size]. */
internal fun RoutingState.started(
    work: RequestWork,
    placement: RequestPlacement,
    size: SizeClass
): RoutingState {
    val key = work.spec.runTimeKey
    val customerId = key.customerId
    val expectedMs = runTimes.typicalMs(key) ?: settings.shortBoundMs
    val chargedMs = expectedMs.toDouble() / weightOf(customerId)
    val group = group(key)
    val run = PlacedRun(
        group = key,
        endpointId = placement.endpointId,
        placedAtMs = placement.placedAtMs,
        size = size,
        onTrial = group.onTrial && size == SizeClass.SHORT,
        chargedAs = size,
        chargedMs = chargedMs
    )
    val service = service(key.service)
    val queue = service.queue(size).served(customerId)
        .charged(customerId, chargedMs, settings.maxDebtMs)
    val used = service.pool.used(
        placement.endpointId,
        placement.token.value,
        placement.placedAtMs,
        settings
    )
    val pool = if (size == SizeClass.LONG) {
        used.longChanged(placement.endpointId, customerId, 1)
    } else {
        used
    }
    val workId = work.spec.workId
    return copy(placed = placed.put(workId, run))
        .withService(key.service, service.withQueue(size, queue).copy(pool = pool))
        .withGroup(key, group.copy(running = group.running + 1))
        .let { if (size == SizeClass.SHORT) it.watched(workId, run) else it }
        .trialsChanged(run, 1)
        .runningChanged(customerId, 1)
}

private fun RoutingState.trialsChanged(run: PlacedRun, change: Int): RoutingState {
    if (!run.onTrial) return this
    val key = run.group.copy(kind = "")
    val count = (trials[key] ?: 0) + change
    return copy(trials = if (count > 0) trials.put(key, count) else trials.remove(key))
}

/**
 * True for an unmeasured kind of a customer whose work is mostly long, while it has other kinds on
 * trial: a new kind for every request must not make long work short.
 */
internal fun RoutingState.exceedsTrials(key: RunTimeKey): Boolean = group(key).onTrial &&
    (trials[key.copy(kind = "")] ?: 0) >= settings.trialRuns &&
    (runTimes.overallMs(key) ?: 0) > settings.shortBoundMs

/** The group counts as long until it is measured. */
internal fun RoutingState.demoted(key: RunTimeKey): RoutingState {
    val group = group(key).copy(demoted = true)
    return withGroup(key, group.classified(key, runTimes, settings))
}

private fun RoutingState.countsAsLongAt(run: PlacedRun): Long =
    run.placedAtMs + settings.shortBoundMs

private fun RoutingState.watched(workId: WorkId, run: PlacedRun): RoutingState =
    copy(shortRuns = shortRuns + Timed(countsAsLongAt(run), workId))

/** The request holds no slot any more, after [usedMs]. */
internal fun RoutingState.stopped(workId: WorkId, usedMs: Long): RoutingState {
    val run = placed[workId] ?: return this
    val key = run.group
    val customerId = key.customerId
    val service = service(key.service)
    val correction = usedMs.toDouble() / weightOf(customerId) - run.chargedMs
    val queue = service.queue(run.chargedAs).charged(customerId, correction, settings.maxDebtMs)
    val pool = if (run.size == SizeClass.LONG) {
        service.pool.longChanged(run.endpointId, customerId, -1)
    } else {
        service.pool
    }
    val group = group(key)
    return copy(
        placed = placed.remove(workId),
        shortRuns = shortRuns - Timed(countsAsLongAt(run), workId)
    )
        .withService(key.service, service.withQueue(run.chargedAs, queue).copy(pool = pool))
        .withGroup(key, group.copy(running = group.running - 1))
        .trialsChanged(run, -1)
        .runningChanged(customerId, -1)
}

/** The state at [nowMs]: ended pauses, short runs that became long, probes that passed. */
internal fun RoutingState.advanced(nowMs: Long): RoutingState {
    var routing = this
    while (true) {
        val due = routing.pauses.firstOrNull()?.takeIf { it.atMs <= nowMs } ?: break
        routing = routing.moved(due.workId, Standing.Queued)
    }
    while (true) {
        val due = routing.shortRuns.firstOrNull()?.takeIf { it.atMs <= nowMs } ?: break
        routing = routing.becameLong(due)
    }
    return routing.services.entries.fold(routing) { all, (name, service) ->
        val pool = service.pool.probesPassed(nowMs)
        if (pool === service.pool) all else all.withService(name, service.copy(pool = pool))
    }
}

private fun RoutingState.becameLong(due: Timed): RoutingState {
    val unwatched = copy(shortRuns = shortRuns - due)
    val run = placed[due.workId] ?: return unwatched
    val service = service(run.group.service)
    val pool = service.pool.longChanged(run.endpointId, run.group.customerId, 1)
    return unwatched
        .copy(placed = placed.put(due.workId, run.copy(size = SizeClass.LONG)))
        .withService(run.group.service, service.copy(pool = pool))
        // It runs longer than this; waiting for its end would let more of its kind start as short.
        .measured(run.group, 2 * settings.shortBoundMs)
}
