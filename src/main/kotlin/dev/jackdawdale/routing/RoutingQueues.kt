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

/** Adds or removes the customer in the order of every queue, by its running limit. */
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

/** Replaces a group and updates its head in the queue of its size class. */
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

/** The size class under which a request of [key] would be placed now. */
internal fun RoutingState.sizeOf(key: RunTimeKey): SizeClass = group(key).size

/** Adds a measured run time and updates the size class of the group of [key]. */
internal fun RoutingState.measured(key: RunTimeKey, runTimeMs: Long): RoutingState {
    val next = copy(runTimes = runTimes.withRun(key, runTimeMs))
    val group = groups[key] ?: return next
    return next.withGroup(key, group.classified(key, next.runTimes, settings))
}

/** Adds the request to the waiting requests. */
internal fun RoutingState.enqueued(work: RequestWork, nowMs: Long): RoutingState {
    val key = work.waitingKey
    val status =
        if (work.notBeforeMs > nowMs) WaitStatus.Paused(work.notBeforeMs) else WaitStatus.Queued
    val declaredMs = work.spec.declaredRunTimeMs
    return copy(deadlines = deadlines + TimeKey(work.spec.deadlineMs, key.workId))
        .addedToQueue(WaitingWork(work.spec.runTimeKey, key, declaredMs, status))
        .arrived(work.spec.runTimeKey, nowMs)
}

private fun RoutingState.arrived(key: RunTimeKey, nowMs: Long): RoutingState {
    val runTimeMs = runTimes.typicalMs(key) ?: return this
    if (runTimeMs > settings.shortBoundMs) return this
    val service = service(key.service)
    val peak = service.shortPeak.arrived(runTimeMs, nowMs, settings)
    return withService(key.service, service.copy(shortPeak = peak))
}

/** Removes a request that was placed or ended from the waiting requests. */
internal fun RoutingState.dequeued(workId: WorkId): RoutingState {
    val work = waiting[workId] ?: return this
    val removed = removedFromQueue(work)
    return removed.copy(
        waiting = removed.waiting.remove(workId),
        deadlines = removed.deadlines - TimeKey(work.key.deadlineMs, workId)
    )
}

/** Changes the status of a waiting request. */
internal fun RoutingState.moved(workId: WorkId, status: WaitStatus): RoutingState {
    val work = waiting[workId] ?: return this
    return removedFromQueue(work).addedToQueue(work.copy(status = status))
}

private fun RoutingState.addedToQueue(work: WaitingWork): RoutingState {
    val known = copy(waiting = waiting.put(work.key.workId, work))
    return when (work.status) {
        WaitStatus.Queued -> {
            val group = known.group(work.group)
            val joined = group.copy(
                waiting = group.waiting + work.key,
                declaredMs = work.declaredMs
            )
            known.withGroup(work.group, joined.classified(work.group, runTimes, settings))
        }
        is WaitStatus.Paused ->
            known.copy(pauses = pauses + TimeKey(work.status.untilMs, work.key.workId))
        WaitStatus.Late -> {
            val service = known.service(work.group.service)
            known.withService(work.group.service, service.copy(late = service.late + work.key))
        }
    }
}

private fun RoutingState.removedFromQueue(work: WaitingWork): RoutingState = when (work.status) {
    WaitStatus.Queued -> {
        val group = group(work.group)
        withGroup(work.group, group.copy(waiting = group.waiting - work.key))
    }
    is WaitStatus.Paused ->
        copy(pauses = pauses - TimeKey(work.status.untilMs, work.key.workId))
    WaitStatus.Late -> {
        val service = service(work.group.service)
        withService(work.group.service, service.copy(late = service.late - work.key))
    }
}

/** Records that the request holds a slot and counts as [size]. */
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
        .let { if (size == SizeClass.SHORT) it.withShortRun(workId, run) else it }
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
 * Whether [key] is an unmeasured kind of a customer whose work is typically long and that has at
 * least [RoutingSettings.trialRuns] runs on trial. Otherwise a new kind per request would let long
 * work run as short.
 */
internal fun RoutingState.exceedsTrials(key: RunTimeKey): Boolean = group(key).onTrial &&
    (trials[key.copy(kind = "")] ?: 0) >= settings.trialRuns &&
    (runTimes.overallMs(key) ?: 0) > settings.shortBoundMs

/** Makes the group count as long until it is measured. */
internal fun RoutingState.demoted(key: RunTimeKey): RoutingState {
    val group = group(key).copy(demoted = true)
    return withGroup(key, group.classified(key, runTimes, settings))
}

private fun RoutingState.countsAsLongAt(run: PlacedRun): Long =
    run.placedAtMs + settings.shortBoundMs

private fun RoutingState.withShortRun(workId: WorkId, run: PlacedRun): RoutingState =
    copy(shortRuns = shortRuns + TimeKey(countsAsLongAt(run), workId))

/** Records that the request released its slot after [usedMs]. */
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
        shortRuns = shortRuns - TimeKey(countsAsLongAt(run), workId)
    )
        .withService(key.service, service.withQueue(run.chargedAs, queue).copy(pool = pool))
        .withGroup(key, group.copy(running = group.running - 1))
        .trialsChanged(run, -1)
        .runningChanged(customerId, -1)
}

/** The state at [nowMs], with pauses ended, overlong short runs made long and probes passed. */
internal fun RoutingState.advanced(nowMs: Long): RoutingState {
    var routing = this
    while (true) {
        val due = routing.pauses.firstOrNull()?.takeIf { it.atMs <= nowMs } ?: break
        routing = routing.moved(due.workId, WaitStatus.Queued)
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

private fun RoutingState.becameLong(due: TimeKey): RoutingState {
    val withoutShortRun = copy(shortRuns = shortRuns - due)
    val run = placed[due.workId] ?: return withoutShortRun
    val service = service(run.group.service)
    val pool = service.pool.longChanged(run.endpointId, run.group.customerId, 1)
    return withoutShortRun
        .copy(placed = placed.put(due.workId, run.copy(size = SizeClass.LONG)))
        .withService(run.group.service, service.copy(pool = pool))
        // It exceeds the bound already; recording this only at its end would let more of its kind
        // start as short work until then.
        .measured(run.group, 2 * settings.shortBoundMs)
}
