package learner

import (
	"math"

	"gonum.org/v1/gonum/mat"

	"sableusher/internal/tuning"
)

// featureWidth is the number of features: the reservoir's units, the input, and a constant 1 for the bias.
const featureWidth = tuning.ReservoirUnits + inputWidth + 1

// trainingSample holds the features of a decision and its SARSA target value.
type trainingSample struct {
	features []float64
	target   float64
}

// ridgeRegression returns the weights that fit the samples best, with L2 regularization of weight
// tuning.RidgeWeight. It returns ErrSingular, ErrFitNotFinite, or an error of the linear solver.
func ridgeRegression(samples []trainingSample) ([]float64, error) {
	features := mat.NewDense(len(samples), featureWidth, nil)
	targets := mat.NewVecDense(len(samples), nil)
	for i, sample := range samples {
		features.SetRow(i, sample.features)
		targets.SetVec(i, sample.target)
	}
	var gram mat.SymDense
	gram.SymOuterK(1, features.T())
	for i := range featureWidth {
		gram.SetSym(i, i, gram.At(i, i)+tuning.RidgeWeight)
	}
	var rightSide mat.VecDense
	rightSide.MulVec(features.T(), targets)
	var cholesky mat.Cholesky
	if !cholesky.Factorize(&gram) {
		return nil, ErrSingular
	}
	var solution mat.VecDense
	if err := cholesky.SolveVecTo(&solution, &rightSide); err != nil {
		return nil, err
	}
	weights := make([]float64, featureWidth)
	for i := range weights {
		weights[i] = solution.AtVec(i)
		if math.IsNaN(weights[i]) || math.IsInf(weights[i], 0) {
			return nil, ErrFitNotFinite
		}
	}
	return weights, nil
}

// rootMeanSquareError returns the root mean square error of the weights' predictions for the samples.
func rootMeanSquareError(weights []float64, samples []trainingSample) float64 {
	sum := 0.0
	for _, sample := range samples {
		residual := dot(weights, sample.features) - sample.target
		sum += residual * residual
	}
	return math.Sqrt(sum / float64(len(samples)))
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
