package org.dahliapass.lab.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import org.dahliapass.kernel.OperationException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.w3c.dom.Element;

/** Tests {@link PolicyPlots}. */
public class PolicyPlotsTest {
    private static final CurvePoint CONFIGURED = new CurvePoint("himal", 0.001, true, 475, 6000, 0);
    private static final CurvePoint LOOSER = new CurvePoint("himal", 1, false, 300, 4000, 20);

    private Path mDirectory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        mDirectory = Files.createTempDirectory("plots");
    }

    @AfterMethod
    public void deleteDirectory() throws IOException {
        for (String name : List.of(PolicyPlots.CURVE_FILE, PolicyPlots.DETECTION_FILE)) {
            Files.deleteIfExists(mDirectory.resolve(name));
        }
        Files.deleteIfExists(mDirectory);
    }

    @Test
    public void curveMarksOnlyTheConfiguredTolerance() throws Exception {
        int inLegend = 1;
        int series = 2;
        assertEquals(circles(curve(List.of(CONFIGURED, LOOSER)), "none"), inLegend + series);
        assertEquals(circles(curve(List.of(LOOSER, LOOSER)), "none"), 0);
    }

    @Test
    public void onlyAdjacentPointsShareLabel() throws Exception {
        CurvePoint adjacent = new CurvePoint("himal", 0.01, false, 470, 5900, 0);
        String text = curve(List.of(CONFIGURED, adjacent, LOOSER)).getTextContent();
        assertTrue(text.contains("0.001 to 0.01"), text);
        assertFalse(text.contains("to 1\n"), text);
    }

    @Test
    public void fasterDetectionIsPlottedFurtherLeft() throws Exception {
        Element drawing =
                detection(row(PolicyVariant.CELL, 80, 475), row(PolicyVariant.PROBES, 80, 1275));
        assertTrue(
                lastX(drawing, SvgDrawing.BLUE, "fill")
                        < lastX(drawing, SvgDrawing.ORANGE, "stroke"));
    }

    @Test
    public void undetectedFaultIsPlottedBeyondSlowestDetection() throws Exception {
        Element drawing =
                detection(row(PolicyVariant.CELL, 80, -1), row(PolicyVariant.PROBES, 80, 30_000));
        assertTrue(
                lastX(drawing, SvgDrawing.BLUE, "fill")
                        > lastX(drawing, SvgDrawing.ORANGE, "stroke"));
    }

    @Test
    public void markupInTitlesIsEscaped() throws Exception {
        CurvePoint point = new CurvePoint("a<b>&c", 1, false, 300, 4000, 20);
        assertTrue(curve(List.of(point)).getTextContent().contains("a<b>&c"));
    }

    @Test
    public void rowsOfAnotherLoadAreNotPlotted() {
        List<ResultRow> rows = List.of(row(PolicyVariant.CELL, 50, 475));
        assertTrue(PolicyPlots.write(mDirectory, rows, List.of()).isEmpty());
        assertFalse(Files.exists(mDirectory.resolve(PolicyPlots.DETECTION_FILE)));
    }

    @Test
    public void fileInPlaceOfDirectoryIsRejected() throws IOException {
        Path file = Files.createFile(mDirectory.resolve(PolicyPlots.CURVE_FILE));
        assertThrows(
                OperationException.class,
                () -> PolicyPlots.write(file, List.of(), List.of(CONFIGURED)));
    }

    private Element curve(List<CurvePoint> points) throws Exception {
        return parse(PolicyPlots.write(mDirectory, List.of(), points));
    }

    private Element detection(ResultRow... rows) throws Exception {
        return parse(PolicyPlots.write(mDirectory, List.of(rows), List.of()));
    }

    private static Element parse(List<Path> files) throws Exception {
        assertEquals(files.size(), 1);
        byte[] svg = Files.readString(files.get(0)).getBytes(StandardCharsets.UTF_8);
        return DocumentBuilderFactory.newInstance()
                .newDocumentBuilder()
                .parse(new ByteArrayInputStream(svg))
                .getDocumentElement();
    }

    private static int circles(Element drawing, String fill) {
        var circles = drawing.getElementsByTagName("circle");
        int count = 0;
        for (int index = 0; index < circles.getLength(); index++) {
            count += ((Element) circles.item(index)).getAttribute("fill").equals(fill) ? 1 : 0;
        }
        return count;
    }

    private static double lastX(Element drawing, String color, String attribute) {
        var circles = drawing.getElementsByTagName("circle");
        double last = -1;
        for (int index = 0; index < circles.getLength(); index++) {
            Element circle = (Element) circles.item(index);
            if (circle.getAttribute(attribute).equals(color)) {
                last = Double.parseDouble(circle.getAttribute("cx"));
            }
        }
        return last;
    }

    private static ResultRow row(PolicyVariant variant, int load, double medianMillis) {
        return new ResultRow(
                "himal",
                load,
                "hard stop",
                variant.title(),
                medianMillis,
                medianMillis,
                medianMillis < 0 ? 100 : 0,
                0,
                29,
                18,
                false,
                0,
                0,
                0,
                0);
    }
}
