package dev.jackdawdale.entry

import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Operation
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable

private const val DEFAULT_QUEUE_LIMIT = 1_000L
private const val MAX_QUEUE_LIMIT = 10_000L

/** Response to an operation. */
@Serializable
private data class DoneJson(val done: Boolean = true)

/** The routes for operators. */
internal fun operatorRoutes(host: EntryHost): List<Route> =
    contractRoutes(host) + cellRoutes(host) + operationRoutes(host)

private fun contractRoutes(host: EntryHost): List<Route> = listOf(
    Route("GET", "/v1/contracts", Access.OPERATOR) {
        val found = host.queryLeader<Reply.Contracts>(Query.Contracts())
        val json = ContractsJson(found.contracts.map { it.toJson() }, found.asOfMs)
        jsonResult(200, ContractsJson.serializer(), json)
    },
    Route("GET", "/v1/contracts/{customer}", Access.OPERATOR) { call ->
        val customerId = CustomerId(call.pathId("customer"))
        val found = host.queryLeader<Reply.Contracts>(Query.Contracts(customerId))
        val contract = found.contracts.firstOrNull { it.customerId == customerId }
            ?: throw HttpError(404, "not_found", "customer \"$customerId\" has no contract")
        jsonResult(200, ContractJson.serializer(), contract.toJson())
    },
    Route("PUT", "/v1/contracts/{customer}", Access.OPERATOR) { call ->
        val json = call.decodeBody(ContractJson.serializer())
        val command = Command.PutContract(
            changeId = ChangeId(validId("change_id", json.changeId.orEmpty())),
            expectedVersion = atLeast(
                0L,
                "expected_version",
                json.expectedVersion ?: throw invalid("expected_version", "is needed")
            ),
            contract = json.toContract(CustomerId(call.pathId("customer")))
        )
        val reply = host.client.call(command, host.settings.commandTimeoutMs)
        val accepted = reply.expect<Reply.ContractAccepted>(Ran.UNKNOWN).contract
        jsonResult(200, ContractJson.serializer(), accepted.toJson())
    }
)

private fun cellRoutes(host: EntryHost): List<Route> = listOf(
    viewRoute(host, "/v1/endpoints", Reply.Endpoints.serializer()) { Query.Endpoints },
    viewRoute(host, "/v1/workers", Reply.Workers.serializer()) { Query.Workers },
    viewRoute(host, "/v1/cell", Reply.CellStatus.serializer()) { Query.CellStatus },
    viewRoute(host, "/v1/queue", Reply.Queue.serializer()) { call ->
        call.allowQuery("customer", "limit")
        val limit = call.queryLong("limit") ?: DEFAULT_QUEUE_LIMIT
        val customer = call.queryText("customer")?.let { CustomerId(validId("customer", it)) }
        Query.Queue(customer, limit.coerceIn(1, MAX_QUEUE_LIMIT).toInt())
    }
)

private inline fun <reified T : Reply> viewRoute(
    host: EntryHost,
    path: String,
    serializer: KSerializer<T>,
    crossinline query: (HttpCall) -> Query
): Route = Route("GET", path, Access.OPERATOR) { call ->
    jsonResult(200, serializer, host.queryLeader<T>(query(call)))
}

private fun operationRoutes(host: EntryHost): List<Route> = Operation.entries.flatMap { operation ->
    val name = operation.name.lowercase()
    listOf(
        Route("POST", "/v1/endpoints/{id}/$name", Access.OPERATOR) { call ->
            host.operate(Command.OperateEndpoint(EndpointId(call.pathId("id")), operation))
        },
        Route("POST", "/v1/workers/{id}/$name", Access.OPERATOR) { call ->
            host.operate(Command.OperateWorker(WorkerId(call.pathId("id")), operation))
        }
    )
} + Route("POST", "/v1/workers/{id}/confirm-lost", Access.OPERATOR) { call ->
    host.operate(Command.ConfirmWorkerLost(WorkerId(call.pathId("id"))))
}

private suspend inline fun <reified T : Reply> EntryHost.queryLeader(query: Query): T =
    client.query(query, settings.commandTimeoutMs).expect<T>()

private suspend fun EntryHost.operate(command: Command): HttpResult {
    client.call(command, settings.commandTimeoutMs).expect<Reply.Done>(Ran.UNKNOWN)
    return jsonResult(200, DoneJson.serializer(), DoneJson())
}
