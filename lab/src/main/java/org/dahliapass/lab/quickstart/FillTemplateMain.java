package org.dahliapass.lab.quickstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.Program;
import org.dahliapass.model.TemplateParser;

/** Writes a template whose services have other targets, so that it fits this machine. */
public final class FillTemplateMain extends Program {
    private static final Pattern SERVICE = Pattern.compile("\\[service ([a-z0-9-]+)]");

    private OptionSpec<String> mTemplate;
    private OptionSpec<String> mTargets;
    private OptionSpec<String> mZones;

    private FillTemplateMain() {
        super("fill-template", "Replaces the targets of a template's services.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new FillTemplateMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mTemplate = parser.accepts("template", "The template.").withRequiredArg().required();
        mTargets =
                parser.accepts("targets", "SERVICE=HOST:PORT,HOST:PORT,...; repeatable.")
                        .withRequiredArg()
                        .required();
        mZones =
                parser.accepts("zones", "Availability zones, separated by commas.")
                        .withRequiredArg()
                        .required();
    }

    @Override
    protected ExitCode run(OptionSet options) {
        String[] zones = options.valueOf(mZones).split(",");
        Map<String, String> targets = new HashMap<>();
        for (String entry : options.valuesOf(mTargets)) {
            int equals = entry.indexOf('=');
            targets.put(
                    entry.substring(0, equals),
                    placed(entry.substring(equals + 1).split(","), zones));
        }
        Path path = Path.of(options.valueOf(mTemplate));
        String filled = String.join("\n", fill(lines(path), targets)) + "\n";
        TemplateParser.parse(path.toString(), filled);
        System.out.print(filled);
        return ExitCode.OK;
    }

    private static String placed(String[] addresses, String[] zones) {
        List<String> parts = new ArrayList<>();
        for (int index = 0; index < addresses.length; index++) {
            parts.add(addresses[index] + "@" + zones[index % zones.length]);
        }
        return String.join(", ", parts);
    }

    private static List<String> lines(Path path) {
        try {
            return Files.readAllLines(path);
        } catch (IOException failure) {
            throw new OperationException("read", path.toString(), "Name a readable file.", failure);
        }
    }

    private static List<String> fill(List<String> lines, Map<String, String> targets) {
        List<String> filled = new ArrayList<>();
        String service = "";
        boolean skipping = false;
        for (String line : lines) {
            Matcher section = SERVICE.matcher(line);
            if (section.matches()) {
                service = section.group(1);
            }
            boolean continued = line.endsWith("\\");
            if (skipping) {
                skipping = continued;
            } else if (line.startsWith("targets =") && targets.containsKey(service)) {
                filled.add("targets = " + targets.get(service));
                skipping = continued;
            } else {
                filled.add(line);
            }
        }
        return filled;
    }
}
