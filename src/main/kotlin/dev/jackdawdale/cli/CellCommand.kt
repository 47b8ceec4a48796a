package dev.jackdawdale.cli

import java.util.concurrent.Callable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin

/** A command that calls a cell and turns answers into text and exit statuses. */
@Command(mixinStandardHelpOptions = true)
internal abstract class CellCommand : Callable<Int> {
    @Mixin
    var cell = CellOptions()

    /** Makes the call and passes a successful answer to [show]. */
    protected fun run(call: CellCall, show: (CellAnswer.Answered) -> Int): Int {
        val progress = Progress()
        val answer = cell.client().call(call) { progress.show("trying the next host: $it") }
        progress.clear()
        return finish(answer, show)
    }

    /** Passes a successful answer to [show]; prints the reason of any other result. */
    protected fun finish(answer: CellAnswer, show: (CellAnswer.Answered) -> Int): Int =
        when (answer) {
            is CellAnswer.Answered -> if (answer.status < FIRST_ERROR) {
                show(answer)
            } else {
                printError(answer)
            }
            is CellAnswer.Unreachable -> {
                printTried("cannot reach the cell, nothing was sent", answer.tried)
                ExitCode.UNREACHABLE
            }
            is CellAnswer.Lost -> {
                printTried("the answer was lost, the outcome is unknown", answer.tried)
                ExitCode.UNKNOWN
            }
        }

    private fun printError(answer: CellAnswer.Answered): Int {
        if (cell.output == OutputForm.JSON) println(answer.body.decodeToString())
        System.err.println("${answer.errorLabel() ?: answer.status}: ${answer.message()}")
        val unknown = answer.ran() == "unknown"
        System.err.println(if (unknown) "it may have run" else "nothing ran")
        return if (unknown) ExitCode.UNKNOWN else ExitCode.REFUSED
    }

    private fun printTried(problem: String, tried: List<String>) {
        System.err.println(problem)
        tried.forEach { System.err.println("  $it") }
    }

    /** Prints an object as fields, or as the received JSON. */
    protected fun printObject(answer: CellAnswer.Answered): Int {
        val json = answer.json()
        if (cell.output == OutputForm.JSON || json == null) {
            println(answer.body.decodeToString())
        } else {
            print(fields(json))
        }
        return ExitCode.OK
    }

    /** Prints the list under [name] as a table, or the received JSON. */
    protected fun printList(answer: CellAnswer.Answered, name: String, columns: List<Column>): Int {
        val rows = (answer.json()?.get(name) as? JsonArray)?.filterIsInstance<JsonObject>()
        if (cell.output == OutputForm.JSON || rows == null) {
            println(answer.body.decodeToString())
        } else {
            print(table(rows, columns))
        }
        return ExitCode.OK
    }
}

private const val FIRST_ERROR = 400
