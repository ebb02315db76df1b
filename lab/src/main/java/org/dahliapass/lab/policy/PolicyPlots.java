package org.dahliapass.lab.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.kernel.OperationException;

/** Writes the results as SVG plots. */
final class PolicyPlots {
    static final String CURVE_FILE = "policy-curve.svg";
    static final String DETECTION_FILE = "policy-detection.svg";

    private PolicyPlots() {}

    /**
     * Writes the plots for which there are results.
     *
     * @param directory created if absent
     * @return the files written
     * @throws OperationException if a file cannot be written
     */
    static List<Path> write(Path directory, List<ResultRow> rows, List<CurvePoint> curve) {
        List<Path> files = new ArrayList<>();
        if (!curve.isEmpty()) {
            files.add(write(directory.resolve(CURVE_FILE), new CurvePlot(curve).draw()));
        }
        Optional<String> detection = new DetectionPlot(rows).draw();
        detection.ifPresent(svg -> files.add(write(directory.resolve(DETECTION_FILE), svg)));
        return files;
    }

    private static Path write(Path file, String svg) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            return Files.writeString(file, svg);
        } catch (IOException failure) {
            throw new OperationException(
                    "write the plots",
                    file.toString(),
                    "name a writable directory: " + failure,
                    failure);
        }
    }
}
