package dev.jackdawdale.model

internal fun sampleContract(
    customer: String,
    version: Long = 1,
    ceiling: Resources = Resources(64_000, 65_536, 8)
): Contract = Contract(
    customerId = CustomerId(customer),
    version = version,
    ceiling = ceiling,
    maxRunningTasks = 100,
    maxRunningRequests = 100,
    requestRatePerSec = 1_000,
    requestBurst = 1_000,
    maxQueuedRequests = 1_000,
    maxQueuedJobs = 100
)

internal fun sampleWorker(
    id: String,
    incarnation: Long = 1,
    capacity: Resources = Resources(64_000, 262_144, 0),
    rack: String = "r1",
    failureDomain: String = "kochi"
): WorkerInfo = WorkerInfo(WorkerId(id), incarnation, capacity, rack, FailureDomain(failureDomain))

internal fun sampleEndpoint(
    id: String,
    incarnation: Long = 1,
    service: String = "planning",
    slots: Int = 8,
    connections: Int = 60
): EndpointInfo = EndpointInfo(
    EndpointId(id),
    incarnation,
    ServiceName(service),
    "127.0.0.1",
    9_000,
    slots,
    connections,
    FailureDomain("kochi")
)

internal fun sampleRequest(
    customer: String,
    requestId: String,
    idempotent: Boolean = true,
    deadlineMs: Long = 60_000,
    kind: String = "check"
): RequestSpec = RequestSpec(
    workId = workId(CustomerId(customer), requestId),
    customerId = CustomerId(customer),
    service = ServiceName("planning"),
    idempotent = idempotent,
    kind = kind,
    deadlineMs = deadlineMs,
    body = blob("pane 40x60")
)

internal fun sampleJob(
    customer: String,
    requestId: String,
    kind: JobKind = JobKind.BATCH,
    taskCount: Int = 1,
    perTask: Resources = Resources(1_000, 1_024),
    timeLimitMs: Long? = 60_000
): JobSpec = JobSpec(
    workId = workId(CustomerId(customer), requestId),
    customerId = CustomerId(customer),
    kind = kind,
    perTask = perTask,
    taskCount = taskCount,
    timeLimitMs = timeLimitMs
)
