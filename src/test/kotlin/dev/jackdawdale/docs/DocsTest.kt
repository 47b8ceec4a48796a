package dev.jackdawdale.docs

import dev.jackdawdale.cli.rootCommandLine
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.io.File
import picocli.CommandLine

private val pages: List<File> =
    File("docs").walk().filter { it.extension == "md" }.toList() + File("README.md")

private val link = Regex("]\\(([^)#:]+)(#[^)]*)?\\)")
private val argument = Regex("'([^']*)'|(\\S+)")

/** The arguments of each indented `jackdawdale ...` line of [page]. */
private fun commands(page: File): List<List<String>> = page.readText().replace("\\\n", " ").lines()
    .filter { it.startsWith("    ") && it.trim().startsWith("jackdawdale ") }
    .map { line ->
        val command = line.trim().removePrefix("jackdawdale ")
            .substringBefore(" #").substringBefore(" >").removeSuffix(" &")
        argument.findAll(command).map { it.groupValues[1].ifEmpty { it.value } }.toList()
    }

private fun parseError(args: List<String>): String? = try {
    rootCommandLine().parseArgs(*args.toTypedArray())
    null
} catch (e: CommandLine.ParameterException) {
    "$args: ${e.message}"
}

class DocsTest :
    FunSpec({
        test("no page links to a file that does not exist") {
            pages.flatMap { page ->
                link.findAll(page.readText()).map { it.groupValues[1] }
                    .filter { !File(page.absoluteFile.parentFile, it).exists() }
                    .map { "${page.path}: $it" }
            }.shouldBeEmpty()
        }

        test("no page shows a command that the program rejects") {
            val commandLines = pages.flatMap(::commands)
            commandLines.size shouldBeGreaterThan 20
            commandLines.mapNotNull(::parseError).shouldBeEmpty()
        }
    })
