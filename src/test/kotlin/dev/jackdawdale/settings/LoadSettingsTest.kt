package dev.jackdawdale.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.File
import java.nio.file.Files

private fun load(text: String): SettingsResult {
    val file = Files.createTempFile("settings", ".ini")
    return try {
        Files.writeString(file, text)
        loadSettings(file)
    } finally {
        Files.delete(file)
    }
}

private val validText = """
    [host]
    id = a1
    [control]
    data_folder = data
    replicas = a1@127.0.0.1:7401
""".trimIndent()

private data class FaultCase(
    val name: String,
    val text: String,
    val line: Int?,
    val message: String
)

private fun fault(name: String, extra: String, line: Int?, message: String) =
    FaultCase(name, "$validText\n$extra", line, message)

private fun fileFault(name: String, text: String, line: Int?, message: String) =
    FaultCase(name, text.trimIndent(), line, message)

private val faults = listOf(
    fault("misspelt section", "[htpp]\nport = 1", 7, "sections are host, http"),
    fault("misspelt key", "[http]\nprot = 7400", 7, "keys are address, port"),
    fault("key set twice", "[http]\nport = 7400\nport = 7410", 8, "set twice"),
    fault("seconds for milliseconds", "[worker]\nlease_ms = 10s", 7, "write 10000"),
    fault("mebibytes for bytes", "[http]\nmax_body_bytes = 2MiB", 7, "write 2097152"),
    fault("unknown unit", "[worker]\nlease_ms = 10 parsecs", 7, "milliseconds from"),
    fault("number out of range", "[http]\nport = 70000", 7, "from 1 to 65535"),
    fault("not a number", "[control]\nheartbeat_ms = often", 7, "a whole number"),
    fault("host name for an address", "[http]\naddress = localhost", 7, "an IP address"),
    fault("unknown log level", "[log]\nlevel = loud", 7, "one of error, warn"),
    fault(
        "token instead of its hash",
        "[auth]\noperator_token_hashes = operator:x",
        7,
        "salt:hash"
    ),
    fault("no authentication off loopback", "[http]\naddress = 10.0.0.1", null, "mode = token"),
    fault("token mode without tokens", "[auth]\nmode = token", 7, "token hash"),
    fault("frame smaller than body", "[http]\nmax_body_bytes = 16777216", null, "max_frame_bytes"),
    fault("same port twice", "[http]\nport = 7401", null, "use two ports"),
    fault("poll as long as the lease", "[worker]\npoll_ms = 9000", 7, "third of lease_ms"),
    fault("margin below clock drift", "[worker]\nlease_margin_ms = 10", 7, "tenth of lease_ms"),
    fileFault(
        "control role without data folder",
        """
        [host]
        id = a1
        roles = control
        [control]
        replicas = a1@127.0.0.1:7401
        """,
        3,
        "data_folder"
    ),
    fileFault(
        "even number of replicas",
        """
        [host]
        id = a1
        [peer]
        cluster_key_file = key
        [control]
        data_folder = data
        replicas = a1@127.0.0.1:7401, a2@127.0.0.1:7402
        """,
        7,
        "use 1, 3 or 5"
    ),
    fileFault(
        "duplicate replica",
        """
        [host]
        id = a1
        [peer]
        cluster_key_file = key
        [control]
        data_folder = data
        replicas = a1@127.0.0.1:7401, a2@127.0.0.1:7402, a2@127.0.0.1:7403
        """,
        7,
        "names a2 twice"
    ),
    fileFault(
        "several processes without a key",
        """
        [host]
        id = a1
        [control]
        data_folder = data
        replicas = a1@127.0.0.1:7401, a2@127.0.0.1:7402, a3@127.0.0.1:7403
        """,
        null,
        "cluster_key_file"
    ),
    fileFault(
        "replica list without this host",
        """
        [host]
        id = a9
        [control]
        data_folder = data
        replicas = a1@127.0.0.1:7401
        """,
        5,
        "not among the replicas"
    ),
    fileFault(
        "entry host that knows no control host",
        "[host]\nroles = entry\n[peer]\ncluster_key_file = key",
        null,
        "[entry] control"
    )
)

class LoadSettingsTest :
    FunSpec({
        context("an invalid file is rejected with the line and what was expected") {
            withData(nameFn = { it.name }, faults) { fault ->
                val rejected = load(fault.text).shouldBeInstanceOf<SettingsResult.Rejected>()
                rejected.errors shouldHaveSize 1
                rejected.errors.single().line shouldBe fault.line
                rejected.errors.single().describe() shouldContain fault.message
            }
        }

        test("all errors of a file are reported at once, in order of their lines") {
            val rejected = load("$validText\n[http]\nport = x\nprot = 1\n")
                .shouldBeInstanceOf<SettingsResult.Rejected>()
            rejected.errors.map { it.line } shouldBe listOf(7, 8)
        }

        test("a file that does not exist is an error instead of default settings") {
            loadSettings(File("no-such.ini").toPath())
                .shouldBeInstanceOf<SettingsResult.Rejected>()
        }

        test("comments and the order of sections do not move values to other keys") {
            val text = "; note\n$validText ; local\n# note\n[log]\nformat = text\n"
            val loaded = load(text).shouldBeInstanceOf<SettingsResult.Loaded>()
            loaded.settings.log.format shouldBe LogFormat.TEXT
            loaded.settings.control.replicas.single().port shouldBe 7401
        }

        test("the default settings describe one process with both roles on loopback") {
            val settings = defaultSettings()
            settings.host.roles shouldBe setOf(Role.ENTRY, Role.CONTROL)
            settings.http.address shouldBe "127.0.0.1"
            settings.control.replicas shouldHaveSize 1
        }

        context("the sample files are valid and agree on the replicas") {
            withData("paneveli-6-hosts" to 6, "tarapati-9-hosts" to 9) { (folder, count) ->
                val files = File("samples/$folder").listFiles { file -> file.extension == "ini" }
                val results = files.orEmpty().map { loadSettings(it.toPath()) }
                results.filterIsInstance<SettingsResult.Rejected>().shouldBeEmpty()
                val all = results.filterIsInstance<SettingsResult.Loaded>().map { it.settings }
                all shouldHaveSize count
                all.map { it.entry.control }.distinct().single() shouldHaveSize 3
                all.map { it.host.failureDomain }.distinct() shouldHaveSize 3
                all.filter { it.hasRole(Role.CONTROL) }
                    .map { it.host.failureDomain }.distinct() shouldHaveSize 3
            }
        }

        test("the reference page is current; write it with check-config --reference") {
            File("docs/settings.md").readText() shouldBe settingsReference()
        }
    })
